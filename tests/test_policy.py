"""The policy language: evaluation of rules, and errors with their position."""

import pytest

from coursefold.policy.language import VARIABLE_TYPES, PolicyError, parse_policy
from coursefold.policy.model import DEFAULT_PARAMETERS, Environment

ENVIRONMENT: Environment = {
    "lambda": 0.1, "mu": 0.01, "c": 10.0, "cstar": 16.0, "busy": 9.0, "queue": 4.0,
    "machines": 5.0, "price": 2.5, "losses": 0.0, "idle": 90.0, "spot": False,
    "pool": "g2/ordinary",
}  # fmt: skip


def test_rules_of_all_kinds_are_parsed_and_evaluated() -> None:
    """The rules of the paper's section 3.2; only rules whose condition holds may take effect."""
    policy = parse_policy(
        """
        # section 3.2
        set eta = 0.001
        set idle = 1 min
        rule grow: when queue > 10 or cstar - c > 5 then recruit 1
        rule shrink: when cstar - c < -5 then release 1   # not now
        rule floor: when pool == "g2/ordinary" and not spot then at_least 2
        rule cap: when price * machines >= 12.5 and idle > 1 min then at_most 9
        """
    )
    assert policy.parameters == DEFAULT_PARAMETERS._replace(eta=0.001, idle=60.0)
    adjustment = policy.evaluate_rules(ENVIRONMENT)
    assert (adjustment.recruit, adjustment.at_least, adjustment.at_most) == (1, 2, 9)
    assert adjustment.active_rules == ("grow", "floor", "cap")


def test_environment_has_a_value_for_every_variable() -> None:
    """A variable that is missing here would leave its evaluation untested."""
    assert set(ENVIRONMENT) == set(VARIABLE_TYPES)


@pytest.mark.parametrize(
    ("text", "position", "message"),
    [
        ("rule a: when size > 1 then recruit 1", "line 1, column 14", "unknown name 'size'"),
        ("\nset etta = 1", "line 2, column 5", "unknown name 'etta'"),
        ("set eta = 1.5", "line 1, column 11", "between"),
        ("set kp = -1", "line 1, column 10", "between"),
        ("set idle = 20", "line 1, column 12", "duration"),
        ("rule a: when idle > 20 then recruit 1", "line 1, column 19", "duration"),
        ("rule a: when c then recruit 1", "line 1, column 14", "truth"),
        ("rule a: when spot + 1 > 2 then recruit 1", "line 1, column 19", "truth"),
        ("rule a: when c > 1 then recruit 100001", "line 1, column 33", "1 to 100000"),
        ("rule a: when c > 1 then at_least 100001", "line 1, column 34", "0 to 100000"),
        ("rule a: when pool == 3 then recruit 1", "line 1, column 19", "never"),
        ("rule a: when c > 1 then explode 1", "line 1", "not understood"),
        ("set ki = 0.1\nset ki = 0.2", "line 2, column 5", "twice"),
        ("rule a: when " + "not " * 70 + "spot then recruit 1", "line 1", "more than"),
    ],
)
def test_invalid_policy_is_rejected_with_line_and_column(
    text: str, position: str, message: str
) -> None:
    """A mistake must be reported when the file is read, with its place, not during evaluation."""
    with pytest.raises(PolicyError) as error:
        parse_policy(text)
    assert position in str(error.value)
    assert message in str(error.value)


def test_division_by_zero_does_not_fail() -> None:
    """`losses` is often 0; a rule that divides by it must not stop the controller."""
    policy = parse_policy("rule a: when queue / losses > 5 then recruit 2")
    assert policy.evaluate_rules(ENVIRONMENT).recruit == 2
