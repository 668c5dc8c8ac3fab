"""What a checked policy is, and how it is evaluated.

A policy only moves pool sizes and the control loop's parameters, within bounds.
Quotas, places and proofs do not read it, so no policy can break a rule.
"""

from collections.abc import Mapping
from typing import NamedTuple

Value = float | bool | str
Environment = Mapping[str, Value]


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


DEFAULT_PARAMETERS = Parameters()


class Expression:
    """An expression; `value_type` is its type: number, duration, truth or text."""

    value_type: str

    def evaluate(self, env: Environment) -> Value:
        """The expression's value under these names."""
        raise NotImplementedError


class Literal(Expression):
    """A constant."""

    def __init__(self, value_type: str, held: Value) -> None:
        self.value_type, self.constant = value_type, held

    def evaluate(self, env: Environment) -> Value:
        """The expression's value under these names."""
        return self.constant


class Variable(Expression):
    """A name of the language."""

    def __init__(self, value_type: str, name: str) -> None:
        self.value_type, self.name = value_type, name

    def evaluate(self, env: Environment) -> Value:
        """The expression's value under these names."""
        return env[self.name]


class Not(Expression):
    """A truth turned over."""

    value_type = "truth"

    def __init__(self, inner: Expression) -> None:
        self.inner = inner

    def evaluate(self, env: Environment) -> Value:
        """The expression's value under these names."""
        return not self.inner.evaluate(env)


class Negative(Expression):
    """A number with the other sign."""

    def __init__(self, inner: Expression) -> None:
        self.value_type, self.inner = inner.value_type, inner

    def evaluate(self, env: Environment) -> Value:
        """The expression's value under these names."""
        return -float(self.inner.evaluate(env))


class Binary(Expression):
    """Two operands; the checker has made sure that they fit."""

    def __init__(self, value_type: str, op: str, left: Expression, right: Expression) -> None:
        self.value_type, self.op, self.left, self.right = value_type, op, left, right

    def evaluate(self, env: Environment) -> Value:
        """The expression's value under these names."""
        left = self.left.evaluate(env)
        if self.op == "and":
            return bool(left) and bool(self.right.evaluate(env))
        if self.op == "or":
            return bool(left) or bool(self.right.evaluate(env))
        right = self.right.evaluate(env)
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
    active_rules: tuple[str, ...] = ()


class Rule(NamedTuple):
    """A condition, and what it asks for while it holds."""

    name: str
    condition: Expression
    action: str  # recruit, release, at_least, at_most
    machine_count: int


class Policy(NamedTuple):
    """A checked policy file."""

    parameters: Parameters = DEFAULT_PARAMETERS
    rules: tuple[Rule, ...] = ()

    def evaluate_rules(self, env: Environment) -> Adjustment:
        """Evaluate all rules for one pool; the cost is bounded by the checker's limits."""
        recruit, least = 0, 0
        most: int | None = None
        fired = []
        for rule in self.rules:
            if not rule.condition.evaluate(env):
                continue
            fired.append(rule.name)
            if rule.action == "recruit":
                recruit += rule.machine_count
            elif rule.action == "release":
                recruit -= rule.machine_count
            elif rule.action == "at_least":
                least = max(least, rule.machine_count)
            else:
                most = rule.machine_count if most is None else min(most, rule.machine_count)
        return Adjustment(recruit, least, most, tuple(fired))
