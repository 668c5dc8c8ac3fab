"""The policy language: what it takes, what it refuses and where."""

import pytest

from coursefold.policy.language import VARIABLE_TYPES, PolicyError, parse_policy
from coursefold.policy.model import DEFAULT_PARAMETERS, Environment

ENVIRONMENT: Environment = {
    "lambda": 0.1, "mu": 0.01, "c": 10.0, "cstar": 16.0, "busy": 9.0, "queue": 4.0,
    "machines": 5.0, "price": 2.5, "losses": 0.0, "idle": 90.0, "spot": False,
    "pool": "g2/ordinary",
}  # fmt: skip


def test_the_papers_rules_can_be_written() -> None:
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
    got = policy.evaluate_rules(ENVIRONMENT)
    assert (got.recruit, got.at_least, got.at_most) == (1, 2, 9)
    assert got.active_rules == ("grow", "floor", "cap")


def test_every_name_of_the_language_is_given_a_value() -> None:
    assert set(ENVIRONMENT) == set(VARIABLE_TYPES)


@pytest.mark.parametrize(
    ("text", "where", "what"),
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
def test_what_is_refused_and_where(text: str, where: str, what: str) -> None:
    with pytest.raises(PolicyError) as wrong:
        parse_policy(text)
    assert where in str(wrong.value)
    assert what in str(wrong.value)


def test_a_division_by_nothing_is_no_fault() -> None:
    policy = parse_policy("rule a: when queue / losses > 5 then recruit 2")
    assert policy.evaluate_rules(ENVIRONMENT).recruit == 2
