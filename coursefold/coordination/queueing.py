"""The M/M/c queue of Cioppino (sections 2.3 and 3.1): Erlang C and the optimum c*."""

from typing import NamedTuple


def erlang_c(servers: int, load: float) -> float:
    """The chance that an arrival must wait, for `load` = λ/μ < servers.

    By the Erlang B recurrence, B(n) = aB(n-1) / (n + aB(n-1)): factorials and
    powers of the closed form overflow long before a fleet gets large.
    """
    if load <= 0:
        return 0.0
    if servers <= load:
        return 1.0
    blocked = 1.0
    for n in range(1, servers + 1):
        blocked = load * blocked / (n + load * blocked)
    rho = load / servers
    return blocked / (1 - rho + rho * blocked)


class Queue(NamedTuple):
    """Expectations of an M/M/c queue."""

    wait: float
    length: float


def expect(servers: int, arrivals: float, rate: float) -> Queue:
    """E[W] (paper's eq. 1) and E[L], for arrivals/rate < servers."""
    load = arrivals / rate
    rho = load / servers
    waiting = erlang_c(servers, load)
    return Queue(waiting / ((1 - rho) * servers * rate), waiting * rho / (1 - rho))


def optimum(arrivals: float, rate: float, price: float, eta: float, most: int = 2000) -> int:
    """c* = argmin over c > λ/μ of η·E[W] + (1-η)·E[Cost]; the sum is convex in c."""
    if arrivals <= 0 or rate <= 0:
        return 0
    servers = int(arrivals / rate) + 1
    best = float("inf")
    while servers < most:
        queue = expect(servers, arrivals, rate)
        total = eta * queue.wait + (1 - eta) * price * max(0.0, servers - queue.length)
        if total >= best:
            return servers - 1
        best = total
        servers += 1
    return servers
