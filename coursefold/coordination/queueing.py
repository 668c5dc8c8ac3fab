"""The M/M/c queue of Cioppino (sections 2.3 and 3.1): Erlang C and the optimum c*."""

from typing import NamedTuple

# The search ends by itself soon after λ/μ unless slots cost nothing; then here.
SPARE_SLOTS = 1000
SPARE_FACTOR = 2.0


def _blocked(load: float, servers: int, before: float) -> float:
    """Erlang B for one more server, B(n) = aB(n-1) / (n + aB(n-1)).

    By this recurrence, since factorials and powers of the closed form overflow
    long before a fleet gets large.
    """
    return load * before / (servers + load * before)


def erlang_c(servers: int, load: float) -> float:
    """The chance that an arrival must wait, for `load` = λ/μ < servers."""
    if load <= 0:
        return 0.0
    if servers <= load:
        return 1.0
    blocked = 1.0
    for n in range(1, servers + 1):
        blocked = _blocked(load, n, blocked)
    return _waiting(servers, load, blocked)


def _waiting(servers: int, load: float, blocked: float) -> float:
    rho = load / servers
    return blocked / (1 - rho + rho * blocked)


class QueueMetrics(NamedTuple):
    """Expectations of an M/M/c queue."""

    mean_wait_s: float
    mean_length: float


def _expect(servers: int, load: float, rate: float, waiting: float) -> QueueMetrics:
    rho = load / servers
    return QueueMetrics(waiting / ((1 - rho) * servers * rate), waiting * rho / (1 - rho))


def evaluate_queue(servers: int, arrivals: float, rate: float) -> QueueMetrics:
    """E[W] (paper's eq. 1) and E[L], for arrivals/rate < servers."""
    load = arrivals / rate
    return _expect(servers, load, rate, erlang_c(servers, load))


def find_optimal_servers(
    arrivals: float, rate: float, price: float, eta: float, batch: float = 1.0
) -> int:
    """c* = argmin over c > λ/μ of η·E[W] + (1-η)·E[Cost]; the sum is convex in c.

    `batch` is by how much arrivals in lumps lengthen the wait: 1 for single tasks.

    The recurrence goes on from one c to the next, so the search costs about as
    much as a single evaluation, also for thousands of slots.
    """
    if arrivals <= 0 or rate <= 0:
        return 0
    load = arrivals / rate
    most = SPARE_SLOTS + int(SPARE_FACTOR * load)
    best = float("inf")
    blocked = 1.0
    for servers in range(1, most):
        blocked = _blocked(load, servers, blocked)
        if servers <= load:
            continue
        queue = _expect(servers, load, rate, _waiting(servers, load, blocked))
        total = eta * batch * queue.mean_wait_s + (1 - eta) * price * max(
            0.0, servers - queue.mean_length
        )
        if total >= best:
            return servers - 1
        best = total
    return most
