"""The first transactions of three controllers are carried out late; then one controller ends."""

import asyncio
import time
from pathlib import Path

from review.second.case import PARAMS, Case, run_case

LATE_S = 2.1
SLOW_READ_S = 0.65
RESTART_DELAY_S = 5.0
TASKS = 8
RUN_S = 30.0


class LateStart:
    """Carries out each controller's first transaction late, and then answers one read late.

    Attributes:
        released_at: When the transactions that were held back are carried out.
    """

    def __init__(self, case: Case) -> None:
        self.case = case
        self.released_at = 0.0
        self.transactions: set[str] = set()
        self.reads: set[str] = set()
        for name, path in case.state.paths.items():
            path.before = lambda method, target, body, name=name: self.before(name, target)
            path.after = lambda method, target, body, name=name: self.after(name, method, target)

    def before(self, name: str, target: str) -> float:
        """Return how long a request is held before it is carried out."""
        if target != "/commit" or name in self.transactions:
            return 0.0
        self.transactions.add(name)
        now = time.monotonic()
        self.released_at = self.released_at or now + LATE_S
        held = max(0.0, self.released_at - now)
        self.case.log("transaction held", name, seconds=round(held, 3))
        return held

    def after(self, name: str, method: str, target: str) -> float:
        """Return how long an answer is held."""
        is_read = method == "GET" and target.startswith("/keys/")
        if not is_read or name not in self.transactions or name in self.reads:
            return 0.0
        self.reads.add(name)
        self.case.log("answer to a read held", name, seconds=SLOW_READ_S)
        return SLOW_READ_S


async def choose_controller(case: Case) -> str:
    """Return the controller, the leader left out, to which most machines report."""
    leader = (await case.health("worker-0"))[1].get("leader")
    names = list(case.nodes)
    counts = dict.fromkeys(names, 0)
    for worker in case.cloud.workers.values():
        if worker.live():
            counts[names[worker.node]] += 1
    case.log("machines", leader=leader, reporting_to=counts)
    return max((n for n in names if n != leader), key=lambda n: counts[n])


async def play(case: Case) -> list[str]:
    """Play the case and return in what the rule was broken."""
    names = list(case.nodes)
    if case.trouble:
        LateStart(case)
    for name in names:
        case.start(name)
    if not await case.submit("job-000001", RUN_S, limit_s=60.0, Pieces=TASKS, Apart=True):
        return ["no controller accepted a job in 60 s: nothing ran"]
    until = time.monotonic() + 30.0
    while len(case.cloud.starts) < TASKS and time.monotonic() < until:
        await asyncio.sleep(0.2)
    if len(case.cloud.starts) < TASKS:
        return [f"only {len(case.cloud.starts)} of {TASKS} tasks started in 30 s"]
    await asyncio.sleep(3.0)
    name = await choose_controller(case)
    case.kill(name)
    await asyncio.sleep(RESTART_DELAY_S)
    case.start(name)
    while time.monotonic() - case.began_at < 105.0:
        if await case.poll("job-000001") == "done":
            return []
        await asyncio.sleep(2.0)
    left = [f"job-000001/{i}" for i in range(TASKS)]
    lost = [t for t in left if t not in case.cloud.finished and not case.cloud.on.get(t)]
    return [f"accepted, but on no machine and not started again: {', '.join(lost)}"] if lost else []


if __name__ == "__main__":
    run_case(Path(__file__).parent, PARAMS, play, boot_s=2.0)
