"""Checked policies and their evaluation.

A policy changes only pool sizes and the control loop's parameters, within bounds. Quotas,
placement and safety checks do not read it, so no policy can violate their rules.
"""

from collections.abc import Mapping
from typing import NamedTuple

Value = float | bool | str
Environment = Mapping[str, Value]


class Parameters(NamedTuple):
    """Parameters of the control loop; the defaults hold without a policy.

    Attributes:
        eta: Weight of the waiting time against the cost, between 0 and 1.
        kp: Proportional gain of the PID controller.
        ki: Integral gain, per planning round.
        kd: Derivative gain.
        period: Seconds between two planning rounds.
        arrivals_window: Seconds over which arrivals are averaged.
        loss_window: Seconds over which the rate of lost machines is averaged.
        idle: Seconds that a machine has to be idle before it may be returned.
    """

    eta: float = 0.0005
    kp: float = 1.0
    ki: float = 0.02
    kd: float = 0.0
    period: float = 2.0
    arrivals_window: float = 150.0
    loss_window: float = 300.0
    idle: float = 45.0  # about the time that a new rental would cost: boot and image fetch


DEFAULT_PARAMETERS = Parameters()


class Expression:
    """An expression; `value_type` is number, duration (seconds), truth (boolean) or text."""

    value_type: str

    def evaluate(self, env: Environment) -> Value:
        """Return the value of the expression.

        Args:
            env: Values of all variables of the language.
        """
        raise NotImplementedError


class Literal(Expression):
    """A constant."""

    def __init__(self, value_type: str, constant: Value) -> None:
        self.value_type, self.constant = value_type, constant

    def evaluate(self, env: Environment) -> Value:
        """Return the value of the expression in `env`."""
        return self.constant


class Variable(Expression):
    """A variable of the language."""

    def __init__(self, value_type: str, name: str) -> None:
        self.value_type, self.name = value_type, name

    def evaluate(self, env: Environment) -> Value:
        """Return the value of the expression in `env`."""
        return env[self.name]


class Not(Expression):
    """The logical negation of a truth."""

    value_type = "truth"

    def __init__(self, operand: Expression) -> None:
        self.operand = operand

    def evaluate(self, env: Environment) -> Value:
        """Return the value of the expression in `env`."""
        return not self.operand.evaluate(env)


class Negative(Expression):
    """The arithmetic negation of a number or a duration."""

    def __init__(self, operand: Expression) -> None:
        self.value_type, self.operand = operand.value_type, operand

    def evaluate(self, env: Environment) -> Value:
        """Return the value of the expression in `env`."""
        return -float(self.operand.evaluate(env))


class Binary(Expression):
    """An operator with two operands, whose types the checker has matched."""

    def __init__(self, value_type: str, operator: str, left: Expression, right: Expression) -> None:
        self.value_type, self.operator, self.left, self.right = value_type, operator, left, right

    def evaluate(self, env: Environment) -> Value:
        """Return the value of the expression in `env`."""
        left = self.left.evaluate(env)
        if self.operator == "and":
            return bool(left) and bool(self.right.evaluate(env))
        if self.operator == "or":
            return bool(left) or bool(self.right.evaluate(env))
        right = self.right.evaluate(env)
        if self.operator == "==":
            return left == right
        if self.operator == "!=":
            return left != right
        a, b = float(left), float(right)
        match self.operator:
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
    """The combined effect of the rules on one pool.

    Attributes:
        recruit: Machines to add; negative for machines to release.
        at_least: Minimum size of the pool in machines.
        at_most: Maximum size of the pool in machines; None for no limit.
        active_rules: Names of the rules whose conditions hold, in the order of the file.
    """

    recruit: int = 0
    at_least: int = 0
    at_most: int | None = None
    active_rules: tuple[str, ...] = ()


class Rule(NamedTuple):
    """A condition, and the action that applies while it holds."""

    name: str
    condition: Expression
    action: str  # recruit, release, at_least, at_most
    machine_count: int


class Policy(NamedTuple):
    """A checked policy file."""

    parameters: Parameters = DEFAULT_PARAMETERS
    rules: tuple[Rule, ...] = ()

    def evaluate_rules(self, env: Environment) -> Adjustment:
        """Combine all rules whose conditions hold for one pool.

        The number of rules and the size of their conditions are limited by the checker, so
        evaluation takes bounded time.
        """
        recruit, at_least = 0, 0
        at_most: int | None = None
        active_rules = []
        for rule in self.rules:
            if not rule.condition.evaluate(env):
                continue
            active_rules.append(rule.name)
            if rule.action == "recruit":
                recruit += rule.machine_count
            elif rule.action == "release":
                recruit -= rule.machine_count
            elif rule.action == "at_least":
                at_least = max(at_least, rule.machine_count)
            else:
                at_most = (
                    rule.machine_count if at_most is None else min(at_most, rule.machine_count)
                )
        return Adjustment(recruit, at_least, at_most, tuple(active_rules))
