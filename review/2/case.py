"""A job whose owner's estimate is wrong by its unit stops every controller in turn."""

import asyncio
import time
from pathlib import Path

from review.sites import GALWAY, barcode_verify, carrier_match
from review.standins import BROKEN, HELD, Record, World, run_case

UNANSWERED_S = 75.0  # "a job about which no question is answered for 75 s counts as forgotten"
WATCH_S = 90.0
POLL_PAUSE_S = 5.0
NANOSECONDS = 1e9


async def play(record: Record, world: World, trouble: bool) -> int:
    """Submit a plain job and one with the estimate; ask for the plain one until the end."""
    await world.start()
    await world.until_healthy()
    await world.submit(0, carrier_match("job-000001"), run_s=600.0)
    estimate_s = 35.0 * (NANOSECONDS if trouble else 1.0)
    await world.submit(1, barcode_verify("job-000002", ExpectedS=estimate_s), run_s=5.0)
    answered_at = time.monotonic()
    until = answered_at + WATCH_S
    node = 0
    while time.monotonic() < until:
        for _ in world.members:  # a load balancer would choose one; here all are asked
            node = (node + 1) % len(world.members)
            status, _ = await world.poll(node, "job-000001")
            if status == 200:
                answered_at = time.monotonic()
        if time.monotonic() - answered_at > UNANSWERED_S:
            record.add(f"forgotten: no poll for job-000001 was answered for {UNANSWERED_S:g} s")
            return BROKEN
        await asyncio.sleep(POLL_PAUSE_S)
    return HELD


async def case(record: Record, trouble: bool) -> int:
    """Run three controllers and check the rule."""
    world = World(record, "cell", params=GALWAY)
    try:
        return await play(record, world, trouble)
    finally:
        await world.stop()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
