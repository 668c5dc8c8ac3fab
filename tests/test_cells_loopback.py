"""Three cells of real processes on loopback: one is overloaded, another is killed partway.

Controllers run as separate processes; state services, clouds and workers are the stand-ins.
The test asserts no durations. It waits for each expected state, up to a limit that only a
fault reaches.
"""

import asyncio
from collections import Counter
from pathlib import Path

from tests.cell_processes import CONTROLLERS, NAMES, Cell
from tests.world import JOB

TIME_LIMIT_S = 150.0
JOB_COUNT = 14


async def record_cells_of_jobs(cells: list[Cell], cells_of_jobs: dict[str, set[str]]) -> None:
    """Assert that no task is ever on two machines, and record the cells each job ran in.

    Args:
        cells: The cells whose workers are inspected.
        cells_of_jobs: Filled with the names of the cells by job name.
    """
    while True:
        running_counts: Counter[str] = Counter()
        for cell in cells:
            live_tasks = cell.live_tasks()
            running_counts += live_tasks
            for task in live_tasks:
                cells_of_jobs.setdefault(task.partition("/")[0], set()).add(cell.name)
        assert all(count == 1 for count in running_counts.values()), running_counts
        await asyncio.sleep(0.05)


async def poll_until_done(home: Cell, names: list[str]) -> dict[str, set[str]]:
    """Poll all jobs, at each controller in turn, until they are done.

    Returns the reasons ("why") given for each job meanwhile, by job name.
    """
    reasons: dict[str, set[str]] = {name: set() for name in names}
    open_jobs = set(names)
    node = 0
    while open_jobs:
        for name in sorted(open_jobs):
            node += 1
            status, body = await home.ask_until_answered("GET", f"/work/{name}", node % CONTROLLERS)
            assert status == 200, (name, status, body)
            assert body["Status"] in ("pending", "running", "done")
            reasons[name].add(body.get("why", ""))
            if body["Status"] == "done":
                open_jobs.discard(name)
        await asyncio.sleep(0.2)
    return reasons


async def spill_and_kill_cell(folder: Path) -> None:
    """Overload the first cell, kill "north" once it runs tasks, and check how all jobs end."""
    cells = [Cell(name, folder) for name in NAMES]
    home, north, _ = cells
    cells_of_jobs: dict[str, set[str]] = {}
    for cell in cells:
        cell.start(cells)
    recording = asyncio.ensure_future(record_cells_of_jobs(cells, cells_of_jobs))
    try:
        for cell in cells:
            await cell.until_healthy()
        names = [f"job-{number}" for number in range(JOB_COUNT)]
        job = JOB | {"Pieces": 2, "Vcpus": 16.0, "Accelerators": 2.0, "ImageGb": 0.5}
        for name in names:
            status = 0
            while status not in (200, 201):
                status, _ = await home.ask("POST", "/work", job | {"NameId": name})
                await asyncio.sleep(0.05)
        polling = asyncio.ensure_future(poll_until_done(home, names))
        while not north.live_tasks():
            assert not recording.done()
            assert not polling.done()
            await asyncio.sleep(0.05)
        jobs_in_north = {task.partition("/")[0] for task in north.live_tasks()}
        north.stop()
        reasons = await polling
        for name in names:
            for node in range(CONTROLLERS):
                status, body = await home.ask_until_answered("GET", f"/work/{name}", node)
                assert (status, body["Status"], body["done"]) == (200, "done", 2)
        if recording.done():
            recording.result()  # raises the assertion that names the task
        assert jobs_in_north
        not_repeated = {
            name for name in jobs_in_north if not cells_of_jobs.get(name, set()) - {"north"}
        }
        assert not not_repeated  # each ran again, in another cell
        assert any("cell west" in why for job_reasons in reasons.values() for why in job_reasons)
        assert any(
            "expected wait here" in why for job_reasons in reasons.values() for why in job_reasons
        )
        cells_health = (await home.ask_until_answered("GET", "/healthz"))[1]["cells"]
        assert {other["cell"] for other in cells_health["others"]} == {"north", "west"}
        assert not recording.done()
    finally:
        recording.cancel()
        for cell in cells:
            cell.stop()
        await asyncio.sleep(0.05)


def test_jobs_of_an_overloaded_cell_end_once_though_another_cell_is_killed(tmp_path: Path) -> None:
    """Guards against jobs lost with the cell that ran them, and tasks that run twice.

    Either happens when the home cell never takes a job back, or does so too early.
    """
    asyncio.run(asyncio.wait_for(spill_and_kill_cell(tmp_path), TIME_LIMIT_S))
