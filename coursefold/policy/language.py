"""The policy language: grammar, checker, and messages that name line and column.

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

VARIABLE_TYPES = {
    "lambda": "number",  # arrivals per second, in slots
    "mu": "number",  # one over the mean run time
    "c": "number",  # slots of the pool
    "cstar": "number",
    "busy": "number",
    "queue": "number",  # slots' worth of waiting tasks
    "machines": "number",
    "price": "number",  # per slot and hour
    "losses": "number",  # machines lost per hour
    "idle": "duration",  # of the machine that has been empty longest
    "spot": "truth",
    "pool": "text",
}

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
MAX_CONDITION_NODES = 60
MAX_MACHINES = 100_000  # far above any fleet: a slip of the pen, not a wish
ACTION_BOUNDS = {
    "recruit": (1, MAX_MACHINES),
    "release": (1, MAX_MACHINES),
    "at_least": (0, MAX_MACHINES),
    "at_most": (0, MAX_MACHINES),
}


class PolicyError(Exception):
    """One plain line: where, and what is wrong."""


def _error_at(where: Any, what: str) -> PolicyError:
    if isinstance(where, Tree):
        return PolicyError(f"line {where.meta.line}, column {where.meta.column}: {what}")
    return PolicyError(f"line {where.line}, column {where.column}: {what}")


class _Checker:
    """Turns a parsed tree into typed expressions, or says what does not fit."""

    def __init__(self) -> None:
        self.node_count = 0

    def build_expression(self, tree: Any) -> Expression:
        self.node_count += 1
        if self.node_count > MAX_CONDITION_NODES:
            raise _error_at(tree, f"a condition of more than {MAX_CONDITION_NODES} parts")
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
                inner = self.build_expression(tree.children[1])
                if inner.value_type not in ("number", "duration"):
                    raise _error_at(tree, f"a sign before a {inner.value_type}")
                return Negative(inner) if str(tree.children[0]) == "-" else inner
            case "negation":
                inner = self.build_expression(tree.children[1])
                if inner.value_type != "truth":
                    raise _error_at(tree, f"'not' before a {inner.value_type}")
                return Not(inner)
        left = self.build_expression(tree.children[0])
        for at in range(1, len(tree.children), 2):
            token = tree.children[at]
            left = self._build_binary(token, left, self.build_expression(tree.children[at + 1]))
        return left

    @staticmethod
    def build_quantity(tree: Any) -> Literal:
        number = float(tree.children[0])
        if not math.isfinite(number):
            raise _error_at(tree, "a number out of range")
        if len(tree.children) == 1:
            return Literal("number", number)
        return Literal("duration", number * (60.0 if str(tree.children[1]) == "min" else 1.0))

    @staticmethod
    def _build_binary(token: Token, left: Expression, right: Expression) -> Binary:
        op = str(token)
        kinds = (left.value_type, right.value_type)
        if op in ("and", "or"):
            if kinds != ("truth", "truth"):
                raise _error_at(
                    token, f"'{op}' between a {left.value_type} and a {right.value_type}"
                )
            return Binary("truth", op, left, right)
        if op in ("==", "!="):
            if left.value_type != right.value_type:
                raise _error_at(token, f"a {left.value_type} is never a {right.value_type}")
            return Binary("truth", op, left, right)
        if not set(kinds) <= {"number", "duration"}:
            raise _error_at(token, f"'{op}' between a {left.value_type} and a {right.value_type}")
        if op in ("<", "<=", ">", ">=", "+", "-"):
            if left.value_type != right.value_type:
                raise _error_at(
                    token, f"'{op}' between a {left.value_type} and a {right.value_type}"
                )
            return Binary(left.value_type if op in "+-" else "truth", op, left, right)
        if op == "*" and kinds == ("duration", "duration"):
            raise _error_at(token, "a duration times a duration")
        if op == "/" and right.value_type == "duration" and left.value_type == "number":
            raise _error_at(token, "a number divided by a duration")
        kind = "number" if kinds in (("number", "number"), ("duration", "duration")) else "duration"
        return Binary(kind, op, left, right)


def _read_parameter(tree: Any, values: dict[str, float]) -> None:
    token, signed = tree.children
    name = str(token)
    if name not in PARAMETER_BOUNDS:
        raise _error_at(token, f"unknown name {name!r}")
    if name in values:
        raise _error_at(token, f"{name} is set twice")
    low, high, kind = PARAMETER_BOUNDS[name]
    quantity = _Checker().build_quantity(signed.children[-1])
    if quantity.value_type != kind:
        raise _error_at(signed, f"{name} is a {kind}, not a {quantity.value_type}")
    number = float(quantity.constant)
    if len(signed.children) == 2 and str(signed.children[0]) == "-":
        number = -number
    if not low <= number <= high:
        raise _error_at(signed, f"{name} must lie between {low:g} and {high:g}")
    values[name] = number


def _read_rule(tree: Any, seen: set[str]) -> Rule:
    name, condition, action, count = tree.children
    if str(name) in seen:
        raise _error_at(name, f"a second rule {str(name)!r}")
    seen.add(str(name))
    if len(seen) > MAX_RULES:
        raise _error_at(name, f"more than {MAX_RULES} rules")
    checked = _Checker().build_expression(condition)
    if checked.value_type != "truth":
        raise _error_at(condition, f"the condition is a {checked.value_type}, not a truth")
    low, high = ACTION_BOUNDS[str(action)]
    if not low <= int(count) <= high:
        raise _error_at(count, f"{action} takes {low} to {high}")
    return Rule(str(name), checked, str(action), int(count))


def parse_policy(text: str) -> Policy:
    """A policy from its text; every fault is a PolicyError with line and column."""
    if len(text) > MAX_POLICY_CHARS:
        raise PolicyError(f"longer than {MAX_POLICY_CHARS} characters")
    parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)
    try:
        tree = parser.parse(text)
    except UnexpectedInput as wrong:
        near = (
            text.splitlines()[wrong.line - 1].strip()
            if 0 < wrong.line <= text.count("\n") + 1
            else ""
        )
        raise PolicyError(
            f"line {wrong.line}, column {wrong.column}: not understood: {near}"
        ) from None
    except RecursionError:
        raise PolicyError("nested too deeply") from None
    values: dict[str, float] = {}
    rules: list[Rule] = []
    seen: set[str] = set()
    for statement in tree.children:
        if not isinstance(statement, Tree):
            continue
        if statement.data == "set":
            _read_parameter(statement, values)
        else:
            rules.append(_read_rule(statement, seen))
    return Policy(Parameters(**(DEFAULT_PARAMETERS._asdict() | values)), tuple(rules))


def load(path: Path) -> Policy:
    """Read and check a policy file."""
    try:
        return parse_policy(path.read_text(encoding="utf-8"))
    except OSError as wrong:
        raise PolicyError(f"{path}: {wrong.strerror}") from None
    except UnicodeDecodeError:
        raise PolicyError(f"{path}: not UTF-8") from None
    except PolicyError as wrong:
        raise PolicyError(f"{path}: {wrong}") from None
