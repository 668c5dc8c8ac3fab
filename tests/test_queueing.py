"""Erlang C against a direct sum in exact fractions, and the optimum's shape."""

from fractions import Fraction
from math import factorial

import pytest

from coursefold.coordination.queueing import erlang_c, evaluate_queue, find_optimal_servers


def closed_form(servers: int, load: Fraction) -> Fraction:
    """The paper's formula, section 3.1, without rounding."""
    rho = load / servers
    top = load**servers / factorial(servers)
    return top / ((1 - rho) * sum(load**n / Fraction(factorial(n)) for n in range(servers)) + top)


@pytest.mark.parametrize(
    ("servers", "load"), [(1, "1/2"), (2, "1"), (5, "4"), (14, "10"), (60, "55"), (120, "119")]
)
def test_erlang_c_is_the_closed_form(servers: int, load: str) -> None:
    exact = closed_form(servers, Fraction(load))
    assert erlang_c(servers, float(Fraction(load))) == pytest.approx(float(exact), rel=1e-9)


def test_known_values() -> None:
    # M/M/1: the chance to wait is the load. M/M/2 at load 1: 1/3.
    assert erlang_c(1, 0.7) == pytest.approx(0.7)
    assert erlang_c(2, 1.0) == pytest.approx(1 / 3)
    # M/M/1 with λ=0.5, μ=1: E[W] = 1, E[L] = 0.5.
    queue = evaluate_queue(1, 0.5, 1.0)
    assert queue.mean_wait_s == pytest.approx(1.0)
    assert queue.mean_length == pytest.approx(0.5)


def test_a_large_fleet_does_not_overflow() -> None:
    assert 0 < erlang_c(5000, 4950.0) < 1
    assert erlang_c(10, 10.0) == 1.0
    assert erlang_c(10, 0.0) == 0.0


def test_optimum_is_the_least_of_all() -> None:
    arrivals, rate, price, eta = 0.2, 1 / 60, 0.0007, 0.0005

    def total(c: int) -> float:
        queue = evaluate_queue(c, arrivals, rate)
        return eta * queue.mean_wait_s + (1 - eta) * price * max(0.0, c - queue.mean_length)

    assert find_optimal_servers(arrivals, rate, price, eta) == min(range(13, 200), key=total)


def test_dearer_slots_make_a_smaller_pool() -> None:
    sizes = [find_optimal_servers(0.3, 1 / 90, price, 0.0005) for price in (0.0001, 0.001, 0.01)]
    assert sizes == sorted(sizes, reverse=True)
    assert sizes[0] > sizes[-1] > 0.3 * 90
