"""Moves of simulated machines between five controller processes that are killed and stopped.

No duration is checked: the test waits for the expected states, up to a limit that only a fault
reaches.
"""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from coursefold.coordination.rendezvous import hash_owner as hashed_owner
from coursefold.storage import codec, records
from coursefold.storage.records import Roster
from coursefold.storage.share_records import MachineOwnership
from tests.cell_processes import Cell, write_toml
from tests.test_cells_loopback import poll_until_done, record_cells_of_jobs
from tests.world import JOB

TEST_LIMIT_S = 150.0
CONTROLLER_COUNT = 5
MAX_OPEN_JOBS = 12  # more jobs than machines
MIN_HANDOVERS = 8
TASK_RUN_S = 1.5
MOVES = {"at_once": 20, "a_minute": 600, "retry_s": 1.0, "limit_s": 20.0}
SUSPENSION_S = 4.0  # longer than a controller lease


class SharesCell(Cell):
    """A cell of five controllers with a shares file."""

    def __init__(self, folder: Path) -> None:
        super().__init__("west", folder, CONTROLLER_COUNT)
        self.cloud.run_s = TASK_RUN_S

    def write_files(self, cells: list[Cell]) -> list[str]:
        """Write the shares file and return the command line option that names it."""
        return ["--shares", str(write_toml(self.directory / "shares.toml", {"moves": MOVES}))]

    def owners(self) -> dict[str, tuple[str, int]]:
        """Return each machine's owner and fencing token, computed from the stored records only."""
        row = self.store.row(str(records.ROSTER_KEY))
        roster = codec.decode_record(records.ROSTER_KEY, row["Value"]) if row else None
        if row is None or not isinstance(roster, Roster):
            return {}
        owners = {}
        for name, box in self.cloud.machines.items():
            owner, token = hashed_owner(name, box["Site"], roster) or "", row["Stamp"]
            ownership_row = self.store.row(records.ownership_key(name))
            record = (
                codec.decode_record(ownership_row["K"], ownership_row["Value"])
                if ownership_row
                else None
            )
            if isinstance(record, MachineOwnership):
                token = max(token, record.token)
                member = roster.find_member(record.owner)
                if member is not None and member.lease_id == record.incarnation:
                    owner = record.owner
            owners[name] = (owner, token)
        return owners


async def check_owners(cell: SharesCell, handovers: set[tuple[str, int]]) -> None:
    """Check until cancelled that each machine has one owner and its token rises with each change.

    Adds (machine, token) of each handover, as opposed to changes by a new roster, to `handovers`.
    """
    known: dict[str, tuple[str, int]] = {}
    while True:
        row = cell.store.row(str(records.ROSTER_KEY))
        for machine, (owner, token) in cell.owners().items():
            last_owner, last_token = known.get(machine, (owner, 0))
            assert owner in {f"n{number}" for number in range(CONTROLLER_COUNT)}
            assert token >= last_token
            assert owner == last_owner or token > last_token, (machine, last_owner, owner, token)
            if owner != last_owner and row is not None and token > row["Stamp"]:
                handovers.add((machine, token))
            known[machine] = (owner, token)
        assert sum(Counter(name for name, _ in cell.owners().values()).values()) == len(
            cell.cloud.machines
        )
        await asyncio.sleep(0.02)


async def request_random_moves(cell: SharesCell, rng: random.Random) -> None:
    """Send random move requests to all controllers until cancelled; only the leader takes them."""
    number = 0
    while True:
        number += 1
        source, target = rng.sample(range(CONTROLLER_COUNT), 2)
        body = {
            "RequestId": f"r-{number}", "From": f"n{source}", "To": f"n{target}", "Type": "g2",
            "Count": 1, "Until": time.time() + 6.0,
        }  # fmt: skip
        await asyncio.gather(
            *(cell.ask("POST", "/shares/move", body, node=node) for node in range(CONTROLLER_COUNT))
        )
        await asyncio.sleep(0.4)


async def disturb_controllers(
    cell: SharesCell, rng: random.Random, disturbances: list[str]
) -> None:
    """Kill controllers, or suspend them for longer than their leases, until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(4.0, 6.0))
        number = rng.randrange(CONTROLLER_COUNT)
        if rng.random() < 0.5:
            cell.processes[number].kill()
            cell.processes[number].wait()
            await asyncio.sleep(rng.choice([0.0, 2.0]))
            cell.processes[number] = cell.start_process(number)
            disturbances.append("killed")
        else:
            cell.processes[number].send_signal(signal.SIGSTOP)
            await asyncio.sleep(SUSPENSION_S)
            cell.processes[number].send_signal(signal.SIGCONT)
            disturbances.append("stopped")


async def submit_load(cell: SharesCell, is_enough: Callable[[], bool]) -> list[str]:
    """Keep the machines busy until `is_enough` returns True; return the names of the jobs."""
    names: list[str] = []
    whole_machine = JOB | {"Vcpus": 16.0, "Accelerators": 2.0, "ImageGb": 0.5, "Loaners": True}
    open_jobs: set[str] = set()
    while not is_enough():
        while len(open_jobs) < MAX_OPEN_JOBS:
            name = f"job-{len(names)}"
            status = 0
            while status not in (200, 201):
                status, _ = await cell.ask("POST", "/work", whole_machine | {"NameId": name})
            names.append(name)
            open_jobs.add(name)
        for name in sorted(open_jobs):
            if (await cell.ask_until_answered("GET", f"/work/{name}"))[1]["Status"] == "done":
                open_jobs.discard(name)
        await asyncio.sleep(0.2)
    return names


async def run_scenario(folder: Path) -> None:
    """Run moves, disturbances and jobs, then check that each job ended exactly once."""
    cell = SharesCell(folder)
    rng = random.Random(7)
    handovers: set[tuple[str, int]] = set()
    disturbances: list[str] = []
    cell.start([cell])
    loops = [asyncio.ensure_future(record_cells_of_jobs([cell], {})), asyncio.ensure_future(
        check_owners(cell, handovers))]  # fmt: skip
    try:
        await cell.until_healthy()
        loops += [
            asyncio.ensure_future(request_random_moves(cell, rng)),
            asyncio.ensure_future(disturb_controllers(cell, rng, disturbances)),
        ]

        def is_enough() -> bool:
            for loop in loops:
                assert not loop.done(), loop.result()
            return len(handovers) >= MIN_HANDOVERS and len(set(disturbances)) == 2

        names = await submit_load(cell, is_enough)
        for loop in loops[2:]:
            loop.cancel()
        for number, process in enumerate(cell.processes):
            process.send_signal(signal.SIGCONT)
            if process.poll() is not None:
                cell.processes[number] = cell.start_process(number)
        await poll_until_done(cell, names)
        for node in range(CONTROLLER_COUNT):
            for name in names:
                status, body = await cell.ask_until_answered("GET", f"/work/{name}", node)
                assert (status, body["Status"], body["done"]) == (200, "done", 1)
        assert sum(Counter(name for name, _ in cell.owners().values()).values()) == len(
            cell.cloud.machines
        )
    finally:
        for loop in loops:
            loop.cancel()
        cell.stop()
        await asyncio.sleep(0.05)


def test_moves_keep_one_owner_while_controllers_are_killed_and_suspended(tmp_path: Path) -> None:
    """A controller that ends or pauses during a handover must not leave two owners or lose jobs."""
    asyncio.run(asyncio.wait_for(run_scenario(tmp_path), TEST_LIMIT_S))
