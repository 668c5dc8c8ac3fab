"""The policy language: grammar and type checker; errors name line and column.

An example of a policy:

set eta = 0.0005
set idle = 30 s
rule backlog: when queue > 10 or cstar - c > 5 then recruit 1
rule nights: when idle > 2 min and not spot then release 1
rule cap: when pool == "g2/spot" then at_most 10
"""

import math
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

from coursefold.policy.model import (
    DEFAULT_PARAMETERS,
    Binary,
    Expression,
    Literal,
    Negative,
    Not,
    Parameters,
    Policy,
    Rule,
    Variable,
)

GRAMMAR = r"""
start: (statement? _NL)* statement?
?statement: set | rule
set: "set" NAME "=" signed
rule: "rule" NAME ":" "when" expr "then" ACTION INT
signed: SIGN? quantity
?expr: conjunction (OR conjunction)*
?conjunction: negation (AND negation)*
?negation: NOT negation | comparison
?comparison: sum (COMPARE sum)?
?sum: product (SIGN product)*
?product: unary (TIMES unary)*
?unary: SIGN unary -> negative | atom
?atom: quantity | NAME -> name | TEXT -> text | "(" expr ")"
quantity: NUMBER UNIT?
OR: "or"
AND: "and"
NOT: "not"
ACTION: "recruit" | "release" | "at_least" | "at_most"
COMPARE: "<=" | ">=" | "==" | "!=" | "<" | ">"
SIGN: "+" | "-"
TIMES: "*" | "/"
UNIT: "s" | "min"
TEXT: /"[^"\n]{0,100}"/
NAME: /(?!(?:or|and|not|when|then|set|rule)\b)[a-z][a-z_0-9]*/
%import common.NUMBER
%import common.INT
%import common.WS_INLINE
_NL: /(#[^\n]*)?\r?\n/
COMMENT: /#[^\n]*/
%ignore WS_INLINE
%ignore COMMENT
"""

# Variables that conditions may use, and their types.
VARIABLE_TYPES = {
    "lambda": "number",  # arrivals per second, in slots
    "mu": "number",  # 1 / mean run time in seconds
    "c": "number",  # slots of the pool now
    "cstar": "number",  # target size of the pool in slots
    "busy": "number",  # slots in use
    "queue": "number",  # slots that the waiting tasks need
    "machines": "number",  # machines of the pool
    "price": "number",  # per slot and hour
    "losses": "number",  # machines lost per hour
    "idle": "duration",  # of the machine that has been idle longest
    "spot": "truth",  # whether the pool is of spot machines
    "pool": "text",  # machine type and kind, such as "g2/spot"
}

# Minimum, maximum and type of each parameter.
PARAMETER_BOUNDS = {
    "eta": (1e-6, 0.999999, "number"),
    "kp": (0.05, 3.0, "number"),
    "ki": (0.0, 0.5, "number"),
    "kd": (0.0, 3.0, "number"),
    "period": (1.0, 60.0, "duration"),
    "arrivals_window": (10.0, 1800.0, "duration"),
    "loss_window": (30.0, 3600.0, "duration"),
    "idle": (0.0, 600.0, "duration"),
}

MAX_POLICY_CHARS = 32 * 1024
MAX_RULES = 50
MAX_CONDITION_NODES = 60  # expressions in one condition, nested ones included
MAX_MACHINES = 100_000  # far above the size of any fleet: a larger count is a typing error
# Minimum and maximum of the machine count of each action.
ACTION_BOUNDS = {
    "recruit": (1, MAX_MACHINES),
    "release": (1, MAX_MACHINES),
    "at_least": (0, MAX_MACHINES),
    "at_most": (0, MAX_MACHINES),
}


class PolicyError(Exception):
    """An invalid policy; the message is one line with position and fault."""


def _error_at(position: Any, fault: str) -> PolicyError:
    if isinstance(position, Tree):
        return PolicyError(f"line {position.meta.line}, column {position.meta.column}: {fault}")
    return PolicyError(f"line {position.line}, column {position.column}: {fault}")


class _Checker:
    """Converts the parse tree of one condition or value into typed expressions.

    Raises PolicyError where the types of operands do not match.
    """

    def __init__(self) -> None:
        self.node_count = 0

    def build_expression(self, tree: Any) -> Expression:
        """Return the typed expression of a parse tree, with its operands."""
        self.node_count += 1
        if self.node_count > MAX_CONDITION_NODES:
            raise _error_at(tree, f"the condition has more than {MAX_CONDITION_NODES} parts")
        match tree.data:
            case "quantity":
                return self.build_quantity(tree)
            case "text":
                return Literal("text", str(tree.children[0])[1:-1])
            case "name":
                token = tree.children[0]
                if str(token) not in VARIABLE_TYPES:
                    raise _error_at(token, f"unknown name {str(token)!r}")
                return Variable(VARIABLE_TYPES[str(token)], str(token))
            case "negative":
                operand = self.build_expression(tree.children[1])
                if operand.value_type not in ("number", "duration"):
                    raise _error_at(
                        tree,
                        f"a sign needs a number or a duration, not a {operand.value_type}",
                    )
                return Negative(operand) if str(tree.children[0]) == "-" else operand
            case "negation":
                operand = self.build_expression(tree.children[1])
                if operand.value_type != "truth":
                    raise _error_at(tree, f"'not' needs a truth, not a {operand.value_type}")
                return Not(operand)
        left = self.build_expression(tree.children[0])
        for index in range(1, len(tree.children), 2):
            token = tree.children[index]
            left = self._build_binary(token, left, self.build_expression(tree.children[index + 1]))
        return left

    @staticmethod
    def build_quantity(tree: Any) -> Literal:
        """Return a number, or a duration in seconds if the number has a unit."""
        number = float(tree.children[0])
        if not math.isfinite(number):
            raise _error_at(tree, "the number is out of range")
        if len(tree.children) == 1:
            return Literal("number", number)
        return Literal("duration", number * (60.0 if str(tree.children[1]) == "min" else 1.0))

    @staticmethod
    def _build_binary(token: Token, left: Expression, right: Expression) -> Binary:
        operator = str(token)
        types = (left.value_type, right.value_type)
        if operator in ("and", "or"):
            if types != ("truth", "truth"):
                raise _error_at(
                    token,
                    f"'{operator}' cannot combine a {left.value_type} and a {right.value_type}",
                )
            return Binary("truth", operator, left, right)
        if operator in ("==", "!="):
            if left.value_type != right.value_type:
                raise _error_at(token, f"a {left.value_type} is never a {right.value_type}")
            return Binary("truth", operator, left, right)
        if not set(types) <= {"number", "duration"}:
            raise _error_at(
                token,
                f"'{operator}' cannot combine a {left.value_type} and a {right.value_type}",
            )
        if operator in ("<", "<=", ">", ">=", "+", "-"):
            if left.value_type != right.value_type:
                raise _error_at(
                    token,
                    f"'{operator}' cannot combine a {left.value_type} and a {right.value_type}",
                )
            return Binary(left.value_type if operator in "+-" else "truth", operator, left, right)
        if operator == "*" and types == ("duration", "duration"):
            raise _error_at(token, "a duration cannot be multiplied by a duration")
        if operator == "/" and right.value_type == "duration" and left.value_type == "number":
            raise _error_at(token, "a number cannot be divided by a duration")
        value_type = (
            "number" if types in (("number", "number"), ("duration", "duration")) else "duration"
        )
        return Binary(value_type, operator, left, right)


def _read_parameter(tree: Any, values: dict[str, float]) -> None:
    token, signed = tree.children
    name = str(token)
    if name not in PARAMETER_BOUNDS:
        raise _error_at(token, f"unknown name {name!r}")
    if name in values:
        raise _error_at(token, f"{name} is set twice")
    low, high, value_type = PARAMETER_BOUNDS[name]
    quantity = _Checker().build_quantity(signed.children[-1])
    if quantity.value_type != value_type:
        raise _error_at(signed, f"{name} is a {value_type}, not a {quantity.value_type}")
    number = float(quantity.constant)
    if len(signed.children) == 2 and str(signed.children[0]) == "-":
        number = -number
    if not low <= number <= high:
        raise _error_at(signed, f"{name} must lie between {low:g} and {high:g}")
    values[name] = number


def _read_rule(tree: Any, names: set[str]) -> Rule:
    name, condition, action, count = tree.children
    if str(name) in names:
        raise _error_at(name, f"duplicate rule {str(name)!r}")
    names.add(str(name))
    if len(names) > MAX_RULES:
        raise _error_at(name, f"the policy has more than {MAX_RULES} rules")
    checked = _Checker().build_expression(condition)
    if checked.value_type != "truth":
        raise _error_at(condition, f"the condition is a {checked.value_type}, not a truth")
    low, high = ACTION_BOUNDS[str(action)]
    if not low <= int(count) <= high:
        raise _error_at(count, f"{action} takes {low} to {high}")
    return Rule(str(name), checked, str(action), int(count))


def parse_policy(text: str) -> Policy:
    """Parse and check the text of a policy.

    Raises:
        PolicyError: The policy is invalid; the message names line and column, except for a
            policy that is too long or too deeply nested.
    """
    if len(text) > MAX_POLICY_CHARS:
        raise PolicyError(f"the policy is longer than {MAX_POLICY_CHARS} characters")
    parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)
    try:
        tree = parser.parse(text)
    except UnexpectedInput as error:
        line = (
            text.splitlines()[error.line - 1].strip()
            if 0 < error.line <= text.count("\n") + 1
            else ""
        )
        raise PolicyError(
            f"line {error.line}, column {error.column}: not understood: {line}"
        ) from None
    except RecursionError:
        raise PolicyError("the policy is nested too deeply") from None
    values: dict[str, float] = {}
    rules: list[Rule] = []
    names: set[str] = set()
    for statement in tree.children:
        if not isinstance(statement, Tree):
            continue
        if statement.data == "set":
            _read_parameter(statement, values)
        else:
            rules.append(_read_rule(statement, names))
    return Policy(Parameters(**(DEFAULT_PARAMETERS._asdict() | values)), tuple(rules))


def load(path: Path) -> Policy:
    """Load and check a policy file.

    Raises:
        PolicyError: The file cannot be read, or its policy is invalid.
    """
    try:
        return parse_policy(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise PolicyError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise PolicyError(f"{path}: not UTF-8") from None
    except PolicyError as error:
        raise PolicyError(f"{path}: {error}") from None
