"""Erlang C compared with its closed form in exact fractions, and properties of the optimum."""

from fractions import Fraction
from math import factorial

import pytest

from coursefold.coordination.queueing import erlang_c, evaluate_queue, find_optimal_servers


def compute_erlang_c(servers: int, load: Fraction) -> Fraction:
    """Return the probability to wait by the formula of the paper's section 3.1, unrounded."""
    utilization = load / servers
    waiting_term = load**servers / factorial(servers)
    return waiting_term / (
        (1 - utilization) * sum(load**n / Fraction(factorial(n)) for n in range(servers))
        + waiting_term
    )


@pytest.mark.parametrize(
    ("servers", "load"), [(1, "1/2"), (2, "1"), (5, "4"), (14, "10"), (60, "55"), (120, "119")]
)
def test_erlang_c_equals_the_closed_form(servers: int, load: str) -> None:
    exact = compute_erlang_c(servers, Fraction(load))
    assert erlang_c(servers, float(Fraction(load))) == pytest.approx(float(exact), rel=1e-9)


def test_known_values_of_m_m_1_and_m_m_2_are_reproduced() -> None:
    # M/M/1: the probability to wait is the load. M/M/2 at load 1: 1/3.
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


def test_the_optimum_has_the_lowest_cost_of_all_sizes() -> None:
    arrivals, rate, price, eta = 0.2, 1 / 60, 0.0007, 0.0005

    def total_cost(servers: int) -> float:
        queue = evaluate_queue(servers, arrivals, rate)
        return eta * queue.mean_wait_s + (1 - eta) * price * max(0.0, servers - queue.mean_length)

    assert find_optimal_servers(arrivals, rate, price, eta) == min(range(13, 200), key=total_cost)


def test_a_higher_slot_price_makes_a_smaller_pool() -> None:
    sizes = [find_optimal_servers(0.3, 1 / 90, price, 0.0005) for price in (0.0001, 0.001, 0.01)]
    assert sizes == sorted(sizes, reverse=True)
    assert sizes[0] > sizes[-1] > 0.3 * 90
