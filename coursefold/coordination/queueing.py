"""M/M/c queueing model (Cioppino, sections 2.3 and 3.1): Erlang C and the optimum c*.

Times are in seconds and rates per second; any other unit of time works as well, as long as
it is the same in all arguments.
"""

import math
from typing import NamedTuple

# Upper bound of the search for c*: the margin plus the factor times the offered load. It
# is reached only if slots cost nothing; otherwise the search ends shortly above the load.
SEARCH_MARGIN_SLOTS = 1000
SEARCH_LOAD_FACTOR = 2.0
MAX_POOL_SLOTS = 1_000_000  # far above any fleet: 4,000 machines of 250 slots
# The recurrence starts at one server up to this load. Above it, it starts this many standard
# deviations of the number of busy servers below the load: the error of the value assumed there
# shrinks with each step, to exp(-SKIP_DEVIATIONS² / 2) at the load, less than a float resolves.
MAX_UNSKIPPED_LOAD = 1000.0
SKIP_DEVIATIONS = 9.0


def _erlang_b(load: float, servers: int, previous: float) -> float:
    """Return the Erlang B probability B(n) = aB(n-1) / (n + aB(n-1)), given B(n-1).

    The closed form is not used because its factorials and powers overflow long before a
    fleet gets large.
    """
    return load * previous / (servers + load * previous)


def erlang_c(servers: int, load: float) -> float:
    """Return the probability that an arrival has to wait.

    Args:
        servers: Number of servers c.
        load: Offered load λ/μ. The result is 1 if it is not below `servers`.
    """
    if load <= 0:
        return 0.0
    if servers <= load:
        return 1.0
    if load > MAX_POOL_SLOTS:
        return _erlang_c_of_large_load(servers, load)
    first, blocking = _start_recurrence(load)
    for count in range(first + 1, servers + 1):
        blocking = _erlang_b(load, count, blocking)
        if not blocking:
            return 0.0
    return _erlang_c_from_b(servers, load, blocking)


def _start_recurrence(load: float) -> tuple[int, float]:
    """Return a number of servers and its Erlang B probability, to start the recurrence from.

    For loads above MAX_UNSKIPPED_LOAD the probability is that of a fluid model, in which the
    share of the load that exceeds the servers is blocked.
    """
    if load <= MAX_UNSKIPPED_LOAD:
        return 0, 1.0
    servers = int(load - SKIP_DEVIATIONS * math.sqrt(load))
    return servers, 1.0 - servers / load


def _erlang_c_of_large_load(servers: int, load: float) -> float:
    """Return the probability to wait in the limit of many servers (Halfin and Whitt, 1981)."""
    excess = (servers - load) / math.sqrt(load)
    density = math.exp(-excess * excess / 2) / math.sqrt(2 * math.pi)
    if not density:
        return 0.0
    distribution = (1 + math.erf(excess / math.sqrt(2))) / 2
    return 1 / (1 + excess * distribution / density)


def _erlang_c_from_b(servers: int, load: float, blocking: float) -> float:
    """Return the Erlang C probability, given the Erlang B probability."""
    utilization = load / servers
    return blocking / (1 - utilization + utilization * blocking)


class QueueMetrics(NamedTuple):
    """Expected values of an M/M/c queue.

    Attributes:
        mean_wait_s: E[W], wait of an arrival before its service begins.
        mean_length: E[L], number of waiting arrivals.
    """

    mean_wait_s: float
    mean_length: float


def _metrics(
    servers: int, load: float, service_rate: float, wait_probability: float
) -> QueueMetrics:
    utilization = load / servers
    return QueueMetrics(
        wait_probability / ((1 - utilization) * servers * service_rate),
        wait_probability * utilization / (1 - utilization),
    )


def evaluate_queue(servers: int, arrival_rate: float, service_rate: float) -> QueueMetrics:
    """Return E[W] (equation 1 of the paper) and E[L] of an M/M/c queue.

    Args:
        servers: Number of servers c; has to be above `arrival_rate / service_rate`.
        arrival_rate: λ, arrivals per second.
        service_rate: μ, services per second of one server.
    """
    load = arrival_rate / service_rate
    return _metrics(servers, load, service_rate, erlang_c(servers, load))


def find_optimal_servers(
    arrival_rate: float,
    service_rate: float,
    price: float,
    eta: float,
    batch_factor: float = 1.0,
    slot_limit: int = MAX_POOL_SLOTS,
) -> int:
    """Return c* = argmin over c > λ/μ of η·E[W] + (1-η)·E[Cost]; the sum is convex in c.

    The Erlang B recurrence continues from one c to the next, so that the search costs about
    as much as one evaluation at c*. It takes some ten to fifty times the square root of the
    load in steps, and none at all for a load that no fleet can serve.

    Args:
        arrival_rate: λ, slots requested per second.
        service_rate: μ, services per second of one slot.
        price: Price of one slot per second.
        eta: η, weight of the wait against the cost, between 0 and 1.
        batch_factor: Factor by which arrivals of several slots at once lengthen the wait;
            1 if they come one by one.
        slot_limit: The most slots that the fleet may hold; MAX_POOL_SLOTS holds in any case.

    Returns:
        The optimal number of slots, at most the limit; 0 without arrivals.
    """
    if arrival_rate <= 0 or service_rate <= 0:
        return 0
    load = arrival_rate / service_rate
    slot_limit = min(slot_limit, MAX_POOL_SLOTS)
    if load >= slot_limit:
        return slot_limit
    max_servers = min(slot_limit, SEARCH_MARGIN_SLOTS + int(SEARCH_LOAD_FACTOR * load))
    lowest = float("inf")
    first, blocking = _start_recurrence(load)
    for servers in range(first + 1, max_servers):
        blocking = _erlang_b(load, servers, blocking)
        if servers <= load:
            continue
        queue = _metrics(servers, load, service_rate, _erlang_c_from_b(servers, load, blocking))
        total = eta * batch_factor * queue.mean_wait_s + (1 - eta) * price * max(
            0.0, servers - queue.mean_length
        )
        if total >= lowest:
            return servers - 1
        lowest = total
    return max_servers
