"""Meetings of troubles: each is brought about, shown to have happened, and then to do no harm."""

from collections.abc import Callable
from typing import Any

from coursefold.protocol.ids import JobId
from coursefold.storage import records
from tests.fleet import NODES, WORKERS, Fleet, Node
from tests.production import OURS, Version

LONG = 1e6
TEAMS = [
    {"name": "red", "gpus": 60.0, "gpus_max": 160.0},
    {"name": "blue", "gpus": 60.0, "gpus_max": 200.0},
]


def busy(seed: int, count: int = 24, pieces: int = 6, others: Version = OURS) -> Fleet:
    """Arrays that run on and on, on a fleet that has come to rest."""
    fleet = Fleet(seed, capacity=200, teams=TEAMS)
    for node in fleet.nodes[1:]:
        if others is not OURS:
            node.stop()
            node.version = others
            node.start()
    for number in range(count):
        fleet.submit(f"job-{number}", LONG, Pieces=pieces, Owner="blue")
    fleet.run(60.0)
    assert len(fleet.on) == count * pieces
    return fleet


def leader(fleet: Fleet) -> Node:
    """The node that leads, as it sees it itself."""
    return next(n for n in fleet.nodes if n.up and n.enter().ctx.leading())


def cancel_at(fleet: Fleet, node: int, name: str, confirmed: Callable[[str], None]) -> None:
    """A user cancels a job through one node, until that one confirms it."""
    job = fleet.jobs[name]
    job.cancel = True

    def told(answer: Any) -> None:
        if answer is not None and answer.status == 200:
            fleet._told(job, answer)
            confirmed(name)
        else:
            fleet.after(0.3, send)

    def send() -> None:
        fleet.request(node, lambda core, t: core.cancel(name, t), told, lambda: True)

    send()


def live(node: Node, name: str) -> bool:
    """Does the node's own view take the job for one that nobody cancelled?"""
    record = node.core.view.jobs.get(JobId(name))
    return record is not None and record.status == records.LIVE


# The gap: the state service refuses the leader alone, another controller confirms
# cancellations, then it is down for all for longer than `cancel_s`, while workers go on
# reporting to the old leader. The world ends the run when a task outlives `cancel_s`.


class Gap:
    """The fleet at the moment at which the service begins to refuse the leader."""

    def __init__(
        self, seed: int, refused_s: float = 2.0, outage_s: float = 55.0, others: Version = OURS
    ) -> None:
        self.fleet = fleet = busy(seed, others=others)
        self.first = leader(fleet) if others is OURS else fleet.nodes[0]
        self.second = fleet.nodes[(self.first.number + 1) % NODES]
        self.outage_at = fleet.now + refused_s
        self.until = self.outage_at + outage_s
        self.unseen: list[str] = []
        fleet.after(refused_s, lambda: setattr(fleet, "outage_until", self.until))
        self.first.refused_until = self.until
        fleet.run(fleet.now + 0.2)
        for number, name in enumerate(self.theirs()[:4]):
            self.cancel(name, refused_s * number / 8.0)

    def theirs(self) -> list[str]:
        """Jobs with tasks on the old leader's machines."""
        mine = self.first.core.ctx.machines
        return sorted({t.job.name for w, t in self.fleet.on.values() if w.id in mine})

    def cancel(self, name: str, pause: float) -> None:
        def confirmed(name: str) -> None:
            if live(self.first, name) and name in self.theirs():
                self.unseen.append(name)

        self.fleet.after(pause, lambda: cancel_at(self.fleet, self.second.number, name, confirmed))

    def play(self) -> None:
        """To the end, and show that it was what it is about."""
        self.fleet.run(self.until + 30.0)
        cancelled = [j for j in self.fleet.jobs.values() if j.told == "cancelled"]
        early = [j for j in cancelled if j.name in self.unseen and j.cancelled_at < self.outage_at]
        assert len(early) == 4  # confirmed elsewhere, unknown to the node with their machines
        assert not [t for _, t in self.fleet.on.values() if t.job in cancelled]
        going = {t.job.name for _, t in self.fleet.on.values()}
        assert going == {j.name for j in self.fleet.jobs.values() if j.told != "cancelled"}


def test_cancellations_that_the_refused_leader_has_not_seen() -> None:
    gap = Gap(1)
    gap.play()
    # What nobody cancelled went on all the time: every controller vouched for what it knew.
    assert {w.session for w in gap.fleet.workers.values()} == {1}


def test_the_gap_while_siblings_refuse_each_other() -> None:
    """Nobody can tell the old leader: it lets its workers go in time."""
    gap = Gap(2)
    gap.fleet.peers_refused_until = gap.until
    gap.play()
    assert max(w.session for w in gap.fleet.workers.values()) > 1


def test_the_gap_where_the_one_that_confirmed_ends() -> None:
    """Its new process knows nothing of what the former one confirmed, and says so by its lease."""
    gap = Gap(3)
    fleet, second = gap.fleet, gap.second
    # Nobody else has followed so far, and its last words are lost.
    for node in fleet.nodes:
        if node is not second:
            node.refused_until = gap.until
    fleet.peers_refused_until = gap.outage_at + 0.5
    fleet.after(gap.outage_at - fleet.now, second.stop)
    fleet.after(gap.outage_at + 1.0 - fleet.now, second.start)
    gap.play()


def test_the_gap_beside_an_older_version(old: Version) -> None:
    """Older siblings say nothing of what they know: that they are out proves nothing."""
    gap = Gap(6, others=old)
    gap.play()


def test_the_gap_when_the_service_comes_back_for_one_alone() -> None:
    """And that one confirms more, while the old leader still hears nobody else."""
    gap = Gap(4, outage_s=20.0)
    fleet = gap.fleet
    for node in fleet.nodes:
        if node is not gap.second:
            node.refused_until = gap.until + 40.0
    later = gap.theirs()[4:6]
    for name in later:
        gap.cancel(name, gap.until + 1.0 - fleet.now)
    fleet.run(gap.until + 45.0)
    gap.play()
    assert later and all(fleet.jobs[name].told == "cancelled" for name in later)


def test_a_plain_outage_costs_no_lease() -> None:
    """Longer than `cancel_s`: each is told by all others that it lacks no cancellation."""
    fleet = busy(5)
    fleet.outage_until = fleet.now + WORKERS["cancel_s"] + 20.0
    running = dict(fleet.on)
    fleet.run(fleet.outage_until + 10.0)
    assert fleet.on == running
    assert {w.session for w in fleet.workers.values()} == {1}
