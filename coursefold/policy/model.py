"""What a checked policy is, and how it is evaluated.

A policy only moves pool sizes and the control loop's parameters, within bounds.
Quotas, places and proofs do not read it, so no policy can break a rule.
"""

from collections.abc import Mapping
from typing import NamedTuple

Value = float | bool | str
Env = Mapping[str, Value]


class Parameters(NamedTuple):
    """Of the control loop; the defaults hold without a policy."""

    eta: float = 0.0005
    kp: float = 1.0
    ki: float = 0.02
    kd: float = 0.0
    period: float = 2.0
    arrivals_window: float = 150.0
    loss_window: float = 300.0
    idle: float = 45.0  # about what renting anew would cost: a boot and a fetch


DEFAULTS = Parameters()


class Expr:
    """An expression; `kind` is its type: number, duration, truth or text."""

    kind: str

    def value(self, env: Env) -> Value:
        """The expression's value under these names."""
        raise NotImplementedError


class Literal(Expr):
    """A constant."""

    def __init__(self, kind: str, held: Value) -> None:
        self.kind, self.held = kind, held

    def value(self, env: Env) -> Value:
        """The expression's value under these names."""
        return self.held


class Name(Expr):
    """A name of the language."""

    def __init__(self, kind: str, name: str) -> None:
        self.kind, self.name = kind, name

    def value(self, env: Env) -> Value:
        """The expression's value under these names."""
        return env[self.name]


class Not(Expr):
    """A truth turned over."""

    kind = "truth"

    def __init__(self, inner: Expr) -> None:
        self.inner = inner

    def value(self, env: Env) -> Value:
        """The expression's value under these names."""
        return not self.inner.value(env)


class Negative(Expr):
    """A number with the other sign."""

    def __init__(self, inner: Expr) -> None:
        self.kind, self.inner = inner.kind, inner

    def value(self, env: Env) -> Value:
        """The expression's value under these names."""
        return -float(self.inner.value(env))


class Binary(Expr):
    """Two operands; the checker has made sure that they fit."""

    def __init__(self, kind: str, op: str, left: Expr, right: Expr) -> None:
        self.kind, self.op, self.left, self.right = kind, op, left, right

    def value(self, env: Env) -> Value:
        """The expression's value under these names."""
        left = self.left.value(env)
        if self.op == "and":
            return bool(left) and bool(self.right.value(env))
        if self.op == "or":
            return bool(left) or bool(self.right.value(env))
        right = self.right.value(env)
        if self.op == "==":
            return left == right
        if self.op == "!=":
            return left != right
        a, b = float(left), float(right)
        match self.op:
            case "+":
                return a + b
            case "-":
                return a - b
            case "*":
                return a * b
            case "/":
                return a / b if b else float("inf")
            case "<":
                return a < b
            case "<=":
                return a <= b
            case ">":
                return a > b
            case _:
                return a >= b


class Adjustment(NamedTuple):
    """What the rules ask of one pool: machines to add, and bounds of its size."""

    recruit: int = 0
    at_least: int = 0
    at_most: int | None = None
    fired: tuple[str, ...] = ()


class Rule(NamedTuple):
    """A condition, and what it asks for while it holds."""

    name: str
    condition: Expr
    action: str  # recruit, release, at_least, at_most
    machines: int


class Policy(NamedTuple):
    """A checked policy file."""

    parameters: Parameters = DEFAULTS
    rules: tuple[Rule, ...] = ()

    def adjust(self, env: Env) -> Adjustment:
        """Evaluate all rules for one pool; the cost is bounded by the checker's limits."""
        recruit, least = 0, 0
        most: int | None = None
        fired = []
        for rule in self.rules:
            if not rule.condition.value(env):
                continue
            fired.append(rule.name)
            if rule.action == "recruit":
                recruit += rule.machines
            elif rule.action == "release":
                recruit -= rule.machines
            elif rule.action == "at_least":
                least = max(least, rule.machines)
            else:
                most = rule.machines if most is None else min(most, rule.machines)
        return Adjustment(recruit, least, most, tuple(fired))
