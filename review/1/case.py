"""A cell whose controllers have restarted takes a job back that another cell still runs."""

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

from review.links import Link
from review.sites import GALWAY, barcode_verify, label_serve
from review.standins import BROKEN, HELD, NotRunError, Record, World, run_case

RESTART_S = 5.0  # "back about 5 s after an end"
CUT_S = 20.0  # `zone_partition` of the site's days: 15 s and 20 s
WATCH_S = 65.0
CELLS = ("galway", "dublin")
HOSTS = {"galway": "127.0.1.1", "dublin": "127.0.2.1"}
PROXY_HOSTS = {"galway": "127.0.1.9", "dublin": "127.0.2.9"}
SPILL_JOB, SERVICE = "job-000002", "job-000001"


def params_of(zone: str) -> dict[str, Any]:
    """Return the site's settings for a cell that lies in one of its zones."""
    return GALWAY | {"zones": [zone], "catalog": [GALWAY["catalog"][0] | {"Sites": [zone]}]}


class Cells:
    """Two cells and the links between their controllers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.home = World(record, "galway", capacity=1, params=params_of("galway-room"))
        self.guest = World(
            record, "dublin", capacity=4, params=params_of("dublin-colo"), shared=self.home
        )
        self.worlds = {"galway": self.home, "dublin": self.guest}
        self.ports = {
            name: [world.free_port(HOSTS[name]) for _ in world.members]
            for name, world in self.worlds.items()
        }
        self.proxies = {
            name: [world.free_port(PROXY_HOSTS[name]) for _ in world.members]
            for name, world in self.worlds.items()
        }
        self.links: list[Link] = []

    def file_of(self, own: str) -> str:
        """Return one cell's file of cells; the other cell is reached through the links."""
        lines = [f'cell = "{own}"']
        for name in CELLS:
            host, ports = (
                (HOSTS[name], self.ports[name])
                if name == own
                else (PROXY_HOSTS[name], self.proxies[name])
            )
            members = self.worlds[name].members
            addresses = ", ".join(
                f'{m} = "{host}:{p}"' for m, p in zip(members, ports, strict=True)
            )
            lines += [
                "[[cells]]",
                f'name = "{name}"',
                f"controllers = {{ {addresses} }}",
                f'networks = ["{HOSTS[name].rpartition(".")[0]}.0/24"]',
            ]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Start links, stand-ins and controllers of both cells."""
        for name, other in (CELLS, CELLS[::-1]):
            for port, proxy in zip(self.ports[other], self.proxies[other], strict=True):
                link = Link((HOSTS[other], port), PROXY_HOSTS[name])
                await link.start(PROXY_HOSTS[other], proxy)
                self.links.append(link)
        for name, world in self.worlds.items():
            file = Path(world.folder.name) / "cells.toml"
            file.write_text(self.file_of(name))
            world.env = {"COURSEFOLD_CELLS": str(file)}
            await world.start()
        for world in self.worlds.values():
            await world.until_healthy()

    async def cut(self) -> None:
        """Cut all links between the cells for CUT_S."""
        self.record.add(f"the two zones can't reach each other for {CUT_S:g} s")
        for link in self.links:
            link.cut()
        await asyncio.sleep(CUT_S)
        for link in self.links:
            link.restore()
        self.record.add("the two zones reach each other again")

    async def stop(self) -> None:
        """End everything that was started."""
        for link in self.links:
            link.stop()
        for world in self.worlds.values():
            await world.stop()


async def until_on(world: World, task: str, prefix: str, limit_s: float) -> None:
    """Wait until a task is on a machine whose name begins with `prefix`."""
    until = time.monotonic() + limit_s
    while not any(m.startswith(prefix) for m in world.on_machines.get(task, [])):
        if time.monotonic() > until:
            raise NotRunError(f"{task} did not start on {prefix}")
        await asyncio.sleep(0.05)


async def restart_home(home: World) -> None:
    """End all controllers of the home cell at once and start them again."""
    for index in range(len(home.members)):
        home.signal_controller(index, signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    for index in range(len(home.members)):
        home.start_controller(index)


async def play(record: Record, cells: Cells, trouble: bool) -> int:
    """Let a job spill; then end the home cell's controllers while the cells are parted."""
    home = cells.home
    await cells.start()
    await home.submit(0, label_serve(SERVICE, Pieces=2))
    for number in range(2):
        await until_on(home, f"{SERVICE}/{number}", "ig", 30.0)
    await home.submit(1, barcode_verify(SPILL_JOB, Loaners=False), run_s=45.0)
    await until_on(home, f"{SPILL_JOB}/0", "id", 45.0)
    await asyncio.sleep(3.0)
    cut = asyncio.ensure_future(cells.cut()) if trouble else None
    await home.cancel(0, SERVICE)
    if trouble:
        await restart_home(home)
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until and not home.twice:
        status, body = await home.poll(2, SPILL_JOB)
        if status == 200 and body["Status"] == "done":
            break
        await asyncio.sleep(1.0)
    if cut is not None:
        cut.cancel()
    if home.twice:
        record.add(f"ran_twice: {home.twice[0]}")
        return BROKEN
    return HELD


async def case(record: Record, trouble: bool) -> int:
    """Run two cells of three controllers and check the rule."""
    cells = Cells(record)
    try:
        return await play(record, cells, trouble)
    finally:
        await cells.stop()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
