"""Kept traces: inputs in simulated time and the outputs that must follow.

A trace is text. `at T` lets time pass until T; the other lines are inputs, and
lines that begin with `->` say what the input before them must have led to:

    report i-1 counter=3 job-1/0#1=running      a worker's report
    -> 200 stop job-1/0#1                       status and commands, in order
    submit job-1 Pieces=2                       a user; fields as on the wire
    poll job-1 / cancel job-1                   -> 200 running 0/2
    state up|down|lost|mute, cloud up|down|full|mute
    roster n1 b                                 n1 of zone b takes over alone
    switch                                      every controller has this version
    version n1 / version n1 none                n1 shows this version, or is an older one
    restart                                     n0 is killed and starts again
    holds job-1/0 i-1 / holds job-1/0 nothing   the record's entry for a task
    reason job-1                                why a poll says that the job waits
    member n1 b / members                       n1 joins; who is in the roster
    peer n1 age=0.5                             n1 says when it last had the state service
    peer n1 age=9 lease=same told=nothing       and that it knows of no cancellation but ours
    peer n1 age=9 lease=same told=job-1         or of one that we do not know of
    listed i-9 running / unlisted i-9           the cloud lists a machine, or no longer
    direct                                      commands sent to workers' addresses
    called hire 2 / returned i-1                what the cloud was asked for
"""

import re
import shlex
from pathlib import Path
from typing import Any

import pytest

from coursefold.coordination.effects import Response
from coursefold.protocol.ids import JobId
from coursefold.storage import records
from coursefold.storage.records import ASSIGNED
from tests.world import World

TRACES = sorted((Path(__file__).parent / "traces").glob("*.trace"))
TASK = re.compile(r"(job-\d+/\d+)#(\d+)=(\w+)(?::(\w+))?$")


def value(text: str) -> Any:
    known = {"true": True, "false": False, "null": None}
    if text in known:
        return known[text]
    try:
        if text.startswith("["):
            return text.strip("[]").split(",")
        return float(text) if "." in text else int(text)
    except ValueError:
        return text


def tasks_of(words: list[str]) -> list[dict[str, Any]]:
    tasks = []
    for word in words:
        match = TASK.match(word)
        if match:
            task, attempt, state, cause = match.groups()
            item: dict[str, Any] = {"Piece": task, "Try": int(attempt), "Status": state}
            tasks.append(item | ({"Cause": cause} if cause else {}))
    return tasks


def fields_of(words: list[str]) -> dict[str, Any]:
    pairs = (word.split("=", 1) for word in words if "=" in word and not TASK.match(word))
    return {key: value(text) for key, text in pairs}


def shown(answer: Response | None) -> str:
    """An answer as a trace writes it."""
    if answer is None:
        return "nothing"
    body = answer.body
    words = [str(answer.status)]
    if "Orders" in body:
        words += [f"{o.verb} {o.task}#{o.attempt}" for o in body["Orders"]]
    elif "Foreman" in body:
        words.append(body["Foreman"])
    elif "Status" in body:
        words.append(body["Status"])
        if "done" in body:
            words.append(f"{body['done']}/{body['running']}")
    if answer.retry_after is not None:
        words.append(f"again {answer.retry_after}")
    return " ".join(words)


class Player:
    """Plays one trace."""

    def __init__(self) -> None:
        self.world = World()
        self.counters: dict[str, int] = {}

    def play(self, line: str) -> str:
        verb, *words = shlex.split(line)
        handler = getattr(self, f"do_{verb}")
        return str(handler(words))

    def do_at(self, words: list[str]) -> str:
        self.world.run(float(words[0]))
        return ""

    def do_submit(self, words: list[str]) -> str:
        return shown(self.world.submit(words[0], **fields_of(words[1:])))

    def do_poll(self, words: list[str]) -> str:
        return shown(self.world.poll(words[0]))

    def do_cancel(self, words: list[str]) -> str:
        return shown(self.world.cancel(words[0]))

    def do_report(self, words: list[str]) -> str:
        fields = fields_of(words[1:])
        machine = words[0]
        count = fields.pop("counter", self.counters.get(machine, 0) + 1)
        self.counters[machine] = max(count, self.counters.get(machine, 0))
        names = {
            "shift": "Shift",
            "token": "Baton",
            "zone": "Site",
            "spot": "Loaners",
            "recall": "RecallS",
        }
        sent = {names.get(key, key): val for key, val in fields.items()}
        answer = self.world.report(machine, tasks_of(words[1:]), Counter=count, **sent)
        return shown(answer)

    def do_state(self, words: list[str]) -> str:
        self.world.state = words[0]
        return ""

    def do_cloud(self, words: list[str]) -> str:
        self.world.cloud = words[0]
        return ""

    def do_roster(self, words: list[str]) -> str:
        self.world.take_over(words[0], words[1])
        return ""

    def do_switch(self, words: list[str]) -> str:
        self.world.store.set(records.FORMAT_LEVEL_KEY, [records.BASE_LEVEL])
        return ""

    def do_version(self, words: list[str]) -> str:
        member = self.world.core.view.members.get(words[0])
        permit = 0 if words[1:] == ["none"] or member is None else member.lease_id
        self.world.store.set(records.VERSION_PREFIX + words[0], [records.BASE_LEVEL, permit])
        return ""

    def do_restart(self, words: list[str]) -> str:
        self.world.restart()
        return ""

    def do_holds(self, words: list[str]) -> str:
        job, _, index = words[0].partition("/")
        record = self.world.core.view.jobs.get(JobId(job))
        found = [e for e in record.entries if e.index == int(index)] if record else []
        if not found or found[0].stage == ASSIGNED:
            return "nothing"
        return f"{found[0].machine}#{found[0].attempt}"

    def do_called(self, words: list[str]) -> str:
        return str(sum(1 for verb, _ in self.world.calls if verb == words[0]))

    def do_returned(self, words: list[str]) -> str:
        return " ".join(sorted(set(self.world.returned))) or "nothing"

    def do_reason(self, words: list[str]) -> str:
        answer = self.world.poll(words[0])
        return str(answer.body.get("why", "none")) if answer else "nothing"

    def do_member(self, words: list[str]) -> str:
        self.world.join(words[0], words[1])
        return ""

    def do_peer(self, words: list[str]) -> str:
        fields = fields_of(words[1:])
        known = self.world.core.view.members.get(words[0])
        permit = known.lease_id if known and fields.get("lease") == "same" else 0
        told = {"none": None, "nothing": {}}.get(
            fields.get("told", "none"), {fields.get("told", ""): 1}
        )
        extra = {key: fields[key] for key in ("lacks", "newer") if key in fields}
        frame = self.world.peer_frame(
            words[0], float(fields["age"]), lease_id=permit, cancellations=told, **extra
        )
        self.world.peer(frame)
        return ""

    def do_members(self, words: list[str]) -> str:
        roster = self.world.core.view.roster
        return " ".join(m.name for m in roster.members) if roster else "nobody"

    def do_listed(self, words: list[str]) -> str:
        box = {"NameId": words[0], "Addr": "10.0.0.9:9000", "Build": "g2", "Site": "a"}
        rest = {"Loaners": False, "Status": words[1], "HeldS": 5.0}
        self.world.listed[words[0]] = box | rest
        return ""

    def do_unlisted(self, words: list[str]) -> str:
        self.world.listed.pop(words[0], None)
        return ""

    def do_direct(self, words: list[str]) -> str:
        """Commands sent to workers' own addresses since the last look."""
        sent, self.world.sent_commands = self.world.sent_commands, []
        orders = [o for d in sent for o in d.commands]
        return " ".join(f"{o.verb} {o.task}#{o.attempt}" for o in orders) or "nothing"

    def do_hires(self, words: list[str]) -> str:
        """How many names were used for hires, and how many machines they asked for."""
        asked = {b["Hire"]: b["Count"] for verb, b in self.world.calls if verb == "hire"}
        return f"{len(asked)} {sum(asked.values())}"


def test_there_are_traces() -> None:
    assert len(TRACES) >= 12


@pytest.mark.parametrize("path", TRACES, ids=lambda p: p.stem)
def test_trace(path: Path) -> None:
    player = Player()
    got = ""
    expected = False
    for number, raw in enumerate(path.read_text().splitlines(), 1):
        line = raw.partition("# ")[0].strip() if not raw.startswith("#") else ""
        if not line:
            continue
        if line.startswith("->"):
            want = line[2:].strip()
            assert got == want, f"{path.name}:{number}: wanted {want!r}, got {got!r}"
            expected = True
        else:
            got = player.play(line)
    assert expected, f"{path.name} expects nothing"
