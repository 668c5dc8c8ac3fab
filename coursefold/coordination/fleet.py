"""The fleet: the leader steers each pool to c* by PID, and replaces what is lost.

Every rental is recorded before it is sent, under a name that is never used
again, so that a successor repeats it instead of renting twice. Machines that
turn up unexpectedly (a request executed late) are adopted and used, or
returned when the pool does not need them.
"""

import logging
import math
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from coursefold.coordination import jobs
from coursefold.coordination.context import DRIFT, Context
from coursefold.coordination.demand import Need, Planner, PoolDemand, PoolId, Runs
from coursefold.coordination.effects import CloudCall
from coursefold.coordination.leader import Leader
from coursefold.coordination.pid import Gains, step
from coursefold.coordination.placement import Room
from coursefold.coordination.quota import Quota
from coursefold.coordination.stability import Losses
from coursefold.policy import Adjustment
from coursefold.policy.model import Env
from coursefold.protocol.wire import Boxes, Catalog, Job, MachineList, Malformed, decode
from coursefold.storage import records
from coursefold.storage.queue import LATER, Budget, Edit, Result, Void
from coursefold.storage.records import DEALT, Hire, PoolRecord, job_key, pool_key

log = logging.getLogger(__name__)

LIST_S = 3.0
LIST_SHARE = 0.2  # of the cloud's rate; a list may take several pages
HIRE = 50  # machines in one request, by the protocol
PAGE = 500  # and in one page of a list
CATALOG_S = 45.0
BLOCK_S = 12.0
SILENT_S = 45.0
WATCH_S = 0.5
DARK = 6  # machines; of fewer, silence says nothing about their zone
LATE = 1.6  # times the boot time; most machines take up to 1.5


class Seen(NamedTuple):
    """What a machine's owner says of it."""

    silent_s: float
    sick: bool
    lost: bool
    deaf: bool


class Known:
    """A machine that the leader believes to exist."""

    __slots__ = (
        "build", "hired_at", "id", "listed_at", "lost", "sick", "silent_s", "spot",
        "status", "up", "zone",
    )  # fmt: skip

    def __init__(self, id: str, build: str, zone: str, spot: bool, hired_at: float) -> None:
        self.id, self.build, self.zone, self.spot = id, build, zone, spot
        self.hired_at = hired_at
        self.listed_at = 0.0
        self.status = "starting"
        self.up = False
        self.lost = self.sick = False
        self.silent_s = 0.0

    @property
    def pool(self) -> PoolId:
        return PoolId(self.build, self.spot)


class Fleet:
    """Rents, watches and returns machines while this node leads."""

    def __init__(self, ctx: Context, leader: Leader) -> None:
        self.ctx, self.leader = ctx, leader
        self.parameters = ctx.policy.parameters
        self.gains = Gains(self.parameters.kp, self.parameters.ki, self.parameters.kd)
        self.reign = 0
        self.leads_since = 0.0
        cloud = ctx.settings.params.cloud
        self.budget = Budget(cloud.rps * 0.8, max(1.0, cloud.rps))
        self.calls: dict[int, tuple[str, Any]] = {}
        self.last_call = 0
        self.pause_until = 0.0
        self.catalog_at = -math.inf
        # Never set back: a hire's name is its token and this count, and the same
        # process may lead twice under one token.
        self.hires = 0
        self._reset()

    def _reset(self) -> None:
        """A new reign starts from reports and lists; the integral starts at zero."""
        self.known: dict[str, Known] = {}
        self.returned: dict[str, float] = {}
        self.returning: dict[str, str] = {}
        self.listed: list[Any] = []
        self.page_from = ""
        self.lists = 0
        self.list_at = -math.inf
        self.plan_at = -math.inf
        self.watch_at = -math.inf
        self.blocked: dict[tuple[str, str, bool], float] = {}
        self.refusals: dict[tuple[str, str, bool], int] = {}
        self.losses: dict[PoolId, Losses] = {}
        self.errors: dict[PoolId, tuple[float, float]] = {}
        self.runs = self.leader.runs = Runs()
        self.arrivals: dict[str, tuple[float, Job]] = {}
        self.asked: set[str] = set()
        self.answered: set[str] = set()
        self.fired: dict[PoolId, tuple[str, ...]] = {}
        self.calls.clear()

    # Calls to the cloud

    def _call(self, verb: str, body: dict[str, Any], about: Any) -> bool:
        ctx = self.ctx
        if ctx.now < self.pause_until or self.budget.fill(ctx.now) < 1.0:
            return False
        if sum(1 for v, _ in self.calls.values() if v == verb) >= (2 if verb == "hire" else 1):
            return False
        self.budget.take(ctx.now, 1.0)
        self.last_call += 1
        self.calls[self.last_call] = (verb, about)
        ctx.out.append(CloudCall(self.last_call, verb, body))
        return True

    def outcome(self, call: int, status: int, body: bytes) -> None:
        """An answer of the cloud; status 0 is no answer."""
        verb, about = self.calls.pop(call, ("", None))
        if not verb:
            return
        if status in (429, 0) or (status == 503 and b"capacity" not in body):
            self.pause_until = self.ctx.now + (0.6 if status == 429 else 1.5)
        if not self.ctx.leading():
            return
        try:
            handler: Callable[[Any, int, bytes], None] = getattr(self, f"_on_{verb}")
            handler(about, status, body)
        except Malformed as wrong:
            log.error("cloud answer to %s is not readable: %s", verb, wrong)

    def _on_catalog(self, about: Any, status: int, body: bytes) -> None:
        if status != 200:
            return
        catalog = decode(body, Catalog)
        self.catalog_at = self.ctx.now

        def change(current: Struct | None) -> Result:
            if current == catalog:
                raise Void("same")
            return catalog

        for kind in catalog.builds:
            log.debug(
                "type %s: %g cpus, %g accelerators, %g GB, %g an hour, %g when spot",
                kind.name, kind.cpus, kind.gpus, kind.memory, kind.price, kind.spot_price,
            )  # fmt: skip
        key = records.TYPES if self.ctx.view.level else records.CATALOG
        self.ctx.queue.propose(
            Edit(key, change, fence=self.ctx.view.token, rank=LATER, tag="catalog")
        )

    def _list(self) -> None:
        """Ask for the next page, or begin anew when the time has come.

        A page that was refused, or that found no room in the cloud's rate, is asked for
        again: over 500 machines every list has several, and a list that is given up for one
        of them, just when hundreds are rented, would leave the fleet unseen.
        """
        if self.page_from:
            self._call("list", {"From": self.page_from, "Page": PAGE}, self.page_from)
            return
        due = self.ctx.now - self.list_at > self._list_every()
        if due and self._call("list", {"Page": PAGE}, ""):
            self.list_at = self.ctx.now
            self.listed = []

    def _on_list(self, about: str, status: int, body: bytes) -> None:
        if status != 200 or about != self.page_from:
            return
        listed = decode(body, MachineList)
        self.listed.extend(listed.machines)
        if listed.more and listed.machines:
            self.page_from = listed.machines[-1].name
            self._list()
            return
        self.page_from = ""
        rows, self.listed = self.listed, []
        self.lists += 1
        ctx = self.ctx
        lag = ctx.settings.params.cloud.list_lag_s
        for row in rows:
            if row.name in self.returned:
                continue
            known = self.known.get(row.name)
            if known is None:
                known = Known(row.name, row.build, row.zone, row.spot, ctx.now - row.held - lag)
                self.known[row.name] = known
                log.info("machine %s is listed (%s)", row.name, row.status)
            known.listed_at, known.status = ctx.now, row.status
        for known in list(self.known.values()):
            unlisted = ctx.now - max(known.listed_at, known.hired_at + lag)
            if unlisted > 2 * lag + 2 * self._list_every() and not self._reports(known):
                log.info("machine %s is listed no more", known.id)
                self._lose(known)

    def _on_hire(self, about: tuple[PoolId, Hire], status: int, body: bytes) -> None:
        pool, hire = about
        self.asked.discard(hire.name)
        spot = (pool.build, hire.zone, pool.spot)
        if status in (200, 400) or b"capacity" in body:
            self.answered.add(hire.name)  # asked no more, while that is being written
        if status == 200:
            machines = decode(body, Boxes).machines
            for name in machines:
                if name not in self.known and name not in self.returned:
                    self.known[name] = Known(name, pool.build, hire.zone, pool.spot, self.ctx.now)
            log.info(
                "hire %s: %d of %d in %s %s: %s",
                hire.name, len(machines), hire.count, pool, hire.zone, ",".join(machines),
            )  # fmt: skip
            if len(machines) < hire.count:
                self._block(spot)
            else:
                self.refusals.pop(spot, None)
            self._hire_edit(pool, hire.name, msgspec.structs.replace(hire, machines=machines))
        elif (status == 503 and b"capacity" in body) or status == 400:
            log.info("hire %s: refused (%d) in %s %s", hire.name, status, pool, hire.zone)
            self._block(spot)
            self._hire_edit(pool, hire.name, None)

    def _block(self, spot: tuple[str, str, bool]) -> None:
        """No capacity: ask elsewhere for a while."""
        times = self.refusals.get(spot, 0)
        self.refusals[spot] = times + 1
        self.blocked[spot] = self.ctx.now + BLOCK_S * min(4, 1 + times)

    def _on_return(self, names: list[str], status: int, body: bytes) -> None:
        """200: the machines and everything on them are gone, which is proof."""
        if status != 200:
            return
        ctx = self.ctx
        for name in names:
            log.info("machine %s returned (%s)", name, self.returning.get(name, ""))
            self.returned[name] = ctx.now
            self.returning.pop(name, None)
            self.known.pop(name, None)
            self.leader.owner.depart(name)
            self._gone(name)

    def _gone(self, machine: str) -> None:
        ctx = self.ctx
        for job, e in ctx.view.on_machine(machine):
            if e.stage != DEALT:
                ctx.queue.propose(
                    Edit(
                        job_key(job),
                        jobs.gone(e.index, machine, e.attempt),
                        fence=ctx.view.token,
                        tag=f"gone{e.index}",
                    )
                )

    # Records

    def _hire_edit(self, pool: PoolId, name: str, hire: Hire | None) -> None:
        queue = self.ctx.queue

        def change(current: Struct | None) -> Result:
            parts = queue.most_parts() if self.ctx.view.level else 1
            room = queue.limits.value * parts - 200
            record = current if isinstance(current, PoolRecord) else PoolRecord()
            kept = [h for h in record.hires if h.name != name]
            if hire is not None:
                kept.append(hire)
            elif len(kept) == len(record.hires):
                raise Void("not there")
            # Answered rentals are kept for a successor that the cloud's list, which
            # lags, does not tell of them; at hundreds of machines the oldest have to go.
            answered = [h for h in kept if h.machines is not None]
            while answered and records.size(records.dump(PoolRecord(hires=kept))) > room:
                kept.remove(answered.pop(0))
            return msgspec.structs.replace(record, hires=kept)

        self.ctx.queue.propose(Edit(pool_key(str(pool)), change, fence=self.ctx.view.token))

    # Each tick

    def tick(self) -> None:
        ctx = self.ctx
        if not ctx.leading():
            self.reign = 0
            return
        if self.reign != ctx.view.token:
            if self.reign == 0 or not self.known:
                self._reset()
            self.reign = ctx.view.token
            self.leads_since = ctx.now
            self.calls.clear()
            self.asked.clear()
            self.answered.clear()
        if ctx.view.catalog is None or ctx.now - self.catalog_at > CATALOG_S:
            self._call("catalog", {}, None)
        self._list()
        if ctx.view.catalog is None:
            return
        if ctx.now - self.watch_at >= WATCH_S:
            self.watch_at = ctx.now
            self._watch()
            self.leader.booting = [
                (k.build, k.zone, k.spot)
                for k in self.known.values()
                if not k.up and k.id not in self.returning
            ]
        self.leader.blocked = {spot for spot, until in self.blocked.items() if until > ctx.now}
        self._send_hires()
        self._send_returns()
        if ctx.now - self.plan_at >= self.parameters.period and self.lists > 0:
            elapsed = min(10.0, ctx.now - self.plan_at)
            self.plan_at = ctx.now
            self._plan(ctx.view.catalog, elapsed)

    def _list_every(self) -> float:
        """Seconds from one list to the next: a large fleet's takes more calls."""
        pages = 1 + len(self.known) // 400
        return max(LIST_S, pages / (LIST_SHARE * self.ctx.settings.params.cloud.rps))

    def _reports(self, known: Known) -> bool:
        """True while the machine's owner hears from it."""
        return known.up and known.silent_s < self.ctx.alive_within()

    def _watch(self) -> None:
        """Bring what owners hear together with what the cloud lists."""
        ctx = self.ctx
        roster = ctx.view.roster
        assert roster is not None
        seen: dict[str, Seen] = {}
        for m in ctx.machines.values():
            if not m.proven:
                continue  # perhaps a late copy of a report, or a machine that does not hear us
            seen[m.id] = Seen(ctx.now - m.heard, m.sick, m.lost, m.deaf)
            if not m.lost:
                self._adopt(m.id, m.build, m.zone, m.spot)
        fresh = {ctx.me}
        for peer in ctx.peers.values():
            if ctx.now - peer.at > 3.0 or peer.token != ctx.view.token:
                continue
            fresh.add(peer.member)  # type: ignore[arg-type]
            for pm in peer.machines.values():
                if pm.id not in seen:
                    seen[pm.id] = Seen(pm.silence(ctx.now), pm.sick, pm.lost, pm.deaf)
                    if not pm.lost:
                        self._adopt(pm.id, pm.build, pm.zone, pm.spot)
        lease = ctx.settings.params.workers.lease_s
        settled = self._led_for() > lease * DRIFT + 4.0
        dark = self._dark(seen)
        for known in list(self.known.values()):
            if known.id in self.returned:
                continue
            kind = ctx.kind(known.build)
            boot = kind.boot if kind else 60.0
            age = ctx.now - known.hired_at
            if known.id in seen:
                known.silent_s, sick, lost, deaf = seen[known.id]
                known.up = True
                if deaf:
                    # Its reports come, our answers do not arrive: nothing can be run there,
                    # and what ran there ended with its lease, or ends with the return.
                    self._give_up(known, "does not hear us")
                if lost != known.lost:
                    known.lost = lost
                    self._count_loss(known, lost)
                if lost and known.zone not in dark:
                    self._silent(known)
                known.sick = sick
                if sick and not lost and not ctx.view.on_machine(known.id):
                    # What already runs on a faulty machine may well run on: seen, a
                    # replica of five minutes was ended by returning its machine.
                    self._give_up(known, "sick")
            elif known.status == "failed":
                self._give_up(known, "failed")
            elif known.zone in dark:
                continue
            elif not known.up and age > 2.0 * boot + 20.0 and settled:
                if ctx.owner(known.id, known.zone) in fresh:
                    self._give_up(known, "never up")
            elif known.up and settled and ctx.owner(known.id, known.zone) in fresh:
                self._give_up(known, "not heard under this roster")
        self._orphans(seen, fresh, settled, dark)
        for name, at in list(self.returned.items()):
            if ctx.now - at > 180.0:
                del self.returned[name]

    def _dark(self, seen: dict[str, Seen]) -> set[str]:
        """Zones of which most machines went silent together: most likely cut off, not dead.

        Seen: a zone was cut off for 40 s, and half of the fleet was returned and rented
        anew, while its own controllers kept all that ran there. So its machines are waited
        for as long as those controllers may renew leases (until `_orphans` has its proof).
        A machine that is dead after all is listed so, or no more, after half a minute.
        """
        ctx = self.ctx
        if ctx.now - ctx.token_since > self._renewable():
            return set()
        up: dict[str, int] = {}
        heard: dict[str, int] = {}
        for known in self.known.values():
            if known.id not in self.returning and (known.up or known.status == "running"):
                up[known.zone] = up.get(known.zone, 0) + 1
                if known.id in seen and not seen[known.id].lost:
                    heard[known.zone] = heard.get(known.zone, 0) + 1
        return {z for z, n in up.items() if n >= DARK and 2 * heard.get(z, 0) < n}

    def _led_for(self) -> float:
        """For how long this node has led, under this roster and without a break.

        Time without the state service does not count: owners keep their workers meanwhile,
        and machines that changed hands just before may not have shown the new token. Seen
        in a hunt: a minute's outage after a new roster was taken for a minute's silence,
        and eight machines' tasks were started elsewhere while they ran.
        """
        return self.ctx.now - max(self.ctx.token_since, self.leads_since)

    def _renewable(self) -> float:
        """For how long after a new roster a former owner may still have renewed leases."""
        return self.ctx.settings.params.workers.cancel_s * DRIFT + 5.0

    def _late(self, known: Known) -> bool:
        """Should it be up by now? Then nothing waits for it, and another is rented.

        Seen: one machine in sixteen took several times its boot time, and array tasks
        that counted on those waited for minutes beside a pool that seemed large enough.
        """
        kind = self.ctx.kind(known.build)
        return not known.up and self.ctx.now - known.hired_at > LATE * (kind.boot if kind else 60)

    def _adopt(self, id: str, build: str, zone: str, spot: bool) -> None:
        if id not in self.known and id not in self.returned:
            self.known[id] = Known(id, build, zone, spot, self.ctx.now)

    def _orphans(
        self, seen: dict[str, Seen], fresh: set[Any], settled: bool, dark: set[str]
    ) -> None:
        """Places on machines that nobody hears and no list shows: prove them gone."""
        ctx = self.ctx
        roster = ctx.view.roster
        if not settled or roster is None:
            return
        waited = self._led_for()
        for machine in ctx.view.occupied():
            heard = seen.get(machine)
            if heard is not None and not (heard.lost and machine not in self.known):
                # Its owner hears it, or will prove its silence, or we return it. But of a
                # lost machine that showed no token of this roster, silence proves nothing;
                # and if it was returned under a former leader, nobody else asks for proof.
                # Seen in a drawn day of the tests: a gang of two never started.
                continue
            placed = [(j, e) for j, e in ctx.view.on_machine(machine) if e.stage != DEALT]
            if not placed:
                continue
            if ctx.owner(machine, placed[0][1].zone) not in fresh:
                continue
            if waited > self._renewable():
                # Longer than any former owner may have gone on renewing its lease.
                self._gone(machine)
            elif machine not in self.returning and placed[0][1].zone not in dark:
                self.returning[machine] = "unheard of, with tasks"

    def _give_up(self, known: Known, why: str) -> None:
        if known.id not in self.returning:
            log.info("machine %s given up: %s", known.id, why)
            self.returning[known.id] = why

    def _silent(self, known: Known) -> None:
        """A machine whose lease is over. Its tasks are gone; the machine may not be.

        Seen: a dozen machines were cut off for a while, returned, and rented and
        booted again while the old ones would have been back. A dead machine stays
        in the list for half a minute and costs nothing; so the return waits, unless
        it is needed as proof that tasks are gone.
        """
        ctx = self.ctx
        lease = ctx.settings.params.workers.lease_s
        if known.silent_s > lease * DRIFT + 3.0 and ctx.view.on_machine(known.id):
            self._give_up(known, "silent, with tasks")
        elif known.silent_s > lease + SILENT_S or known.status == "failed":
            self._give_up(known, "silent")

    def _count_loss(self, known: Known, lost: bool) -> None:
        """What is silent when a reign begins was lost, or returned, before it."""
        if lost and known.up and self.ctx.now - self.ctx.token_since > 10.0:
            self.losses.setdefault(known.pool, Losses(self.parameters.loss_window)).lost(
                self.ctx.now
            )

    def _lose(self, known: Known) -> None:
        self.known.pop(known.id, None)
        self._count_loss(known, not known.lost)
        if self.ctx.view.on_machine(known.id):
            self.returning.setdefault(known.id, "lost, with tasks")

    def _send_returns(self) -> None:
        ready = [
            name for name, why in list(self.returning.items()) if why != "spare" or self._lent(name)
        ][:100]
        if ready:
            self._call("return", {"Boxes": ready}, ready)

    def _lent(self, machine: str) -> bool:
        """A spare machine goes back only while its owner keeps it free."""
        ctx = self.ctx
        if ctx.view.on_machine(machine) or any(m == machine for m, _ in ctx.pending.values()):
            self.returning.pop(machine, None)
            self.leader.wanted.pop(machine, None)
            return False
        mine = ctx.machines.get(machine)
        if mine is not None:
            mine.lent_until = ctx.now + 3.0
            return True
        self.leader.wanted[machine] = ctx.now + 3.0
        return any(
            ctx.now - peer.at < 1.5 and machine in peer.machines and peer.machines[machine].lent
            for peer in ctx.peers.values()
        )

    def _send_hires(self) -> None:
        """Send what is recorded and not answered; a name gets the same answer again."""
        ctx = self.ctx
        for key, record in list(ctx.view.pools.items()):
            build, _, kind = key.partition("/")
            pool = PoolId(build, kind == "spot")
            for hire in record.hires:
                if (
                    hire.machines is None
                    and hire.name not in self.asked
                    and hire.name not in self.answered
                ):
                    body = {
                        "Hire": hire.name,
                        "Build": build,
                        "Site": hire.zone,
                        "Loaners": pool.spot,
                        "Count": hire.count,
                    }
                    if self._call("hire", body, (pool, hire)):
                        self.asked.add(hire.name)
                elif hire.machines is not None:
                    for name in hire.machines:
                        age = ctx.wall - hire.at
                        if self.lists < 3 and age < 60.0 and name not in self.returned:
                            known = Known(name, build, hire.zone, pool.spot, ctx.now - age)
                            self.known.setdefault(name, known)
                    if ctx.wall - hire.at > 60.0:
                        self._hire_edit(pool, hire.name, None)
        live = {
            name
            for _, (verb, about) in self.calls.items()
            if verb == "hire"
            for name in [about[1].name]
        }
        self.asked &= live
        self.answered &= {h.name for record in ctx.view.pools.values() for h in record.hires}

    # The control loop

    def _plan(self, catalog: Catalog, elapsed: float) -> None:
        ctx = self.ctx
        for lane, seconds in ctx.finished:
            self.runs.add(lane, seconds, ctx.now)
        ctx.finished.clear()
        losses = {pool: lost.rate(ctx.now) for pool, lost in self.losses.items()}
        planner = Planner(
            catalog, self.runs, ctx.now, self.blocked, losses, self.parameters.arrivals_window,
            ctx.market(),
        )  # fmt: skip
        for known in self.known.values():
            if (
                known.id not in self.returning
                and not (known.lost or known.sick or self._late(known))
                and known.pool in planner.pools
            ):
                planner.pools[known.pool].machines += 1
        for name, record in ctx.view.pools.items():
            build, _, kind = name.partition("/")
            counted = planner.pools.get(PoolId(build, kind == "spot"))
            if counted is not None:
                counted.machines += sum(h.count for h in record.hires if h.machines is None)
        self._observe(planner)
        for pool, demand in planner.pools.items():
            self._steer(pool, demand, planner, elapsed)

    def _observe(self, planner: Planner) -> None:
        """Arrivals of the window, tasks in place, tasks that wait."""
        ctx = self.ctx
        teams = ctx.settings.params.teams
        quota = Quota(teams, ctx.view.usage)
        for name, job in ctx.view.jobs.items():
            if name in self.arrivals or ctx.view.needs.holds(name):
                continue  # a job arrives here when it may start
            since = ctx.view.since(name, job)
            if ctx.wall - since < self.parameters.arrivals_window:
                self.arrivals[name] = (since, job.spec)
        for seen, (at, spec) in list(self.arrivals.items()):
            if ctx.wall - at > self.parameters.arrivals_window:
                del self.arrivals[seen]
            else:
                planner.arrived(spec, min(spec.tasks, 200))
        needs: list[Need] = []
        for wait in self.leader.queue(quota):
            spec = wait.job.spec
            count = min(wait.job.waiting_count, self.leader.most_entries())
            # What its team's limit is kept for needs its machines once the limit has room.
            kept = self.leader.keeps_quota(wait)
            while count > 0 and not kept and not quota.fits(spec, count):
                count = count - 1 if spec.shape == "array" else 0
            if count <= 0:
                continue
            quota.take(spec, count)
            zones: dict[str, int] = {}
            for e in wait.job.entries:
                zones[e.zone] = zones.get(e.zone, 0) + 1
            needs.append(Need(spec, count, zones, wait.slack, wait.age))
        for machine in ctx.view.occupied():
            known = self.known.get(machine)
            if known is not None:
                for spec in ctx.view.load(machine).specs:
                    planner.running(spec, known.pool)
        planner.pack(needs, self._all_rooms())

    def _all_rooms(self) -> list[Room]:
        """Free room now, and the machines that are about to be up."""
        ctx = self.ctx
        rooms = [r for r in ctx.rooms() if r.id not in self.returning]
        have = {r.id for r in rooms}
        for known in self.known.values():
            kind = ctx.kind(known.build)
            if known.id in have or known.up or known.id in self.returning:
                continue
            if kind and not self._late(known):
                rooms.append(Room(known.id, kind, known.zone, known.spot, "", 0))
        for room in rooms:
            if room.lent and room.id in self.leader.wanted:
                room.lent = False
        return rooms

    def _steer(self, pool: PoolId, demand: PoolDemand, planner: Planner, elapsed: float) -> None:
        ctx = self.ctx
        target = demand.target(self.parameters.eta)
        size = demand.machines * demand.k
        booting = (pool.build, pool.spot) in {(b, spot) for b, _, spot in self.leader.booting}
        error = target - size
        last, integral = self.errors.get(pool, (0.0, 0.0))
        result = step(error, last, integral, self.gains, hold=booting, clamp=float(demand.k))
        self.errors[pool] = (error, result.integral)
        lost = self.losses.get(pool)
        extra = lost.due(ctx.now, elapsed, error > 0) if lost else 0
        drive = result.drive
        if target > 0 or demand.machines:
            log.debug(
                "pool %s: c*=%.1f c=%d u=%.1f arrivals=%.1f busy=%.1f queued=%.1f backlog=%.1f",
                pool, target, size, drive, demand.arrivals, demand.busy, demand.queued,
                demand.backlog,
            )  # fmt: skip
        ruled = self._ruled(pool, demand, target, lost)
        if drive > 0.25 and error > 0:
            # Whole machines; the integral's small share alone does not rent one more.
            want = max(1, math.ceil(drive / demand.k - 0.25), extra) + max(0, ruled.recruit)
        elif drive <= -demand.k and error <= -demand.k:
            want = -int(-drive // demand.k) + ruled.recruit
        else:
            want = ruled.recruit
        want = max(want, ruled.at_least - demand.machines)
        if ruled.at_most is not None:
            want = min(want, ruled.at_most - demand.machines)
        if want > 0:
            self._rent(pool, demand, planner, want)
        elif want < 0:
            self._give_back(pool, -want)

    def _ruled(
        self, pool: PoolId, demand: PoolDemand, target: float, lost: Losses | None
    ) -> Adjustment:
        """What the operators' rules ask of this pool; said once when it changes."""
        ctx = self.ctx
        if not ctx.policy.rules:
            return Adjustment()
        waits = [
            ctx.now - room.idle_since
            for room in ctx.rooms()
            if (room.kind.name, room.spot) == pool and room.tasks == 0
        ]
        env: Env = {
            "lambda": demand.arrivals / demand.window,
            "mu": 1 / demand.mean_run,
            "c": float(demand.machines * demand.k),
            "cstar": target,
            "busy": demand.busy,
            "queue": demand.queued + demand.backlog + demand.gang,
            "machines": float(demand.machines),
            "price": demand.price * 3600.0,
            "losses": lost.rate(ctx.now) * 3600.0 if lost else 0.0,
            "idle": max(waits, default=0.0),
            "spot": pool.spot,
            "pool": str(pool),
        }
        adjustment = ctx.policy.adjust(env)
        if adjustment.fired != self.fired.get(pool, ()):
            self.fired[pool] = adjustment.fired
            log.info("pool %s: rules in force: %s", pool, ", ".join(adjustment.fired) or "none")
        return adjustment

    def _rent(self, pool: PoolId, demand: PoolDemand, planner: Planner, want: int) -> None:
        """Record hires for whole machines, split over zones by what asked for them."""
        ctx = self.ctx
        if want <= 0 or ctx.queue.busy(pool_key(str(pool))):
            return
        zones = [
            z
            for z in demand.kind.zones
            if self.blocked.get((pool.build, z, pool.spot), 0.0) <= ctx.now
        ]
        if not zones:
            return
        have = dict.fromkeys(zones, 0.0)
        for known in self.known.values():
            if known.pool == pool and known.zone in have and known.id not in self.returning:
                have[known.zone] += 1
        split = dict.fromkeys(zones, 0)
        needs = {z: w / demand.k for z, w in demand.zones.items() if z in split}
        for _ in range(want):
            zone = max(needs, key=lambda z: needs[z]) if needs else ""
            if not zone or needs[zone] <= 0:
                zone = min(zones, key=lambda z: (have[z] + split[z], z))
            else:
                needs[zone] -= 1
            split[zone] += 1
        while any(split.values()):
            for zone, left in split.items():
                count = min(left, HIRE)
                if count:
                    split[zone] -= count
                    self.hires += 1
                    name = f"r-{ctx.view.token}-{self.hires}"
                    log.info("rent %d of %s in %s (%s)", count, pool, zone, name)
                    self._hire_edit(pool, name, Hire(name, zone, pool.spot, count, ctx.wall))

    def _give_back(self, pool: PoolId, most: int) -> None:
        """Return machines that are empty and have been for a while."""
        ctx = self.ctx
        rooms = {r.id: r for r in ctx.rooms()}
        spare = [
            k
            for k in self.known.values()
            if k.pool == pool
            and k.id not in self.returning
            and k.id in rooms
            and rooms[k.id].tasks == 0
            and ctx.now - rooms[k.id].idle_since > self.parameters.idle
            and not ctx.view.on_machine(k.id)
        ]
        spare.sort(key=lambda k: rooms[k.id].idle_since)
        for known in spare[:most]:
            log.info("machine %s is spare in %s", known.id, pool)
            self.returning[known.id] = "spare"
