"""Replay of recorded traces: inputs in simulated time and the expected outputs.

A trace is a text file. `at T` advances the simulated time to T (seconds); every other line
is an input to controller n0. A line that begins with `->` is the expected output of the
input before it:

    report i-1 counter=3 job-1/0#1=running      report of a worker
    -> 200 stop job-1/0#1                       status and commands, in order
    submit job-1 Pieces=2                       user request; fields as on the wire
    poll job-1 / cancel job-1                   -> 200 running 0/2
    state up|down|lost|mute, cloud up|down|full|mute
    roster n1 b                                 n1 of zone b replaces the whole roster
    switch                                      the record format of this version is active
    version n1 / version n1 none                n1 announces this version, or an older one
    restart                                     n0 is killed and starts again
    holds job-1/0 -> i-1#1 / -> nothing         machine and attempt in the entry of a task
    reason job-1                                why a poll says that the job waits
    member n1 b / members                       n1 joins; names of the roster's members
    peer n1 age=0.5                             frame of n1: age of its last state service contact
    peer n1 age=9 lease=same told=nothing       it knows of no cancellation that n0 lacks
    peer n1 age=9 lease=same told=job-1         it knows of one that n0 may lack
    listed i-9 running / unlisted i-9           the cloud lists a machine, or no longer does
    direct                                      commands sent to workers' own addresses
    called hire / returned                      number of cloud calls; names of returned machines
    hires                                       number of distinct hire requests, and of machines
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
TASK_PATTERN = re.compile(r"(job-\d+/\d+)#(\d+)=(\w+)(?::(\w+))?$")


def parse_value(text: str) -> Any:
    """Parse a field value: a boolean, null, a number, a list in brackets, or text."""
    known = {"true": True, "false": False, "null": None}
    if text in known:
        return known[text]
    try:
        if text.startswith("["):
            return text.strip("[]").split(",")
        return float(text) if "." in text else int(text)
    except ValueError:
        return text


def parse_tasks(words: list[str]) -> list[dict[str, Any]]:
    """Return the tasks of a report as on the wire; words of another form are ignored."""
    tasks = []
    for word in words:
        match = TASK_PATTERN.match(word)
        if match:
            task, attempt, state, cause = match.groups()
            item: dict[str, Any] = {"Piece": task, "Try": int(attempt), "Status": state}
            tasks.append(item | ({"Cause": cause} if cause else {}))
    return tasks


def parse_fields(words: list[str]) -> dict[str, Any]:
    """Return the `key=value` words that are not tasks."""
    pairs = (word.split("=", 1) for word in words if "=" in word and not TASK_PATTERN.match(word))
    return {key: parse_value(text) for key, text in pairs}


def format_response(answer: Response | None) -> str:
    """Format a response in the notation of traces; a missing one is "nothing"."""
    if answer is None:
        return "nothing"
    body = answer.body
    words = [str(answer.status)]
    if "Orders" in body:
        words += [f"{c.verb} {c.task}#{c.attempt}" for c in body["Orders"]]
    elif "Foreman" in body:
        words.append(body["Foreman"])
    elif "Status" in body:
        words.append(body["Status"])
        if "done" in body:
            words.append(f"{body['done']}/{body['running']}")
    if answer.retry_after is not None:
        words.append(f"again {answer.retry_after}")
    return " ".join(words)


class TracePlayer:
    """Executes the lines of one trace in a `World`; each `do_X` handles the command X.

    Attributes:
        sequences: The highest sequence number sent so far by machine.
    """

    def __init__(self) -> None:
        self.world = World()
        self.sequences: dict[str, int] = {}

    def play(self, line: str) -> str:
        """Execute one line and return its output in the notation of traces."""
        verb, *words = shlex.split(line)
        handler = getattr(self, f"do_{verb}")
        return str(handler(words))

    def do_at(self, words: list[str]) -> str:
        self.world.run(float(words[0]))
        return ""

    def do_submit(self, words: list[str]) -> str:
        return format_response(self.world.submit(words[0], **parse_fields(words[1:])))

    def do_poll(self, words: list[str]) -> str:
        return format_response(self.world.poll(words[0]))

    def do_cancel(self, words: list[str]) -> str:
        return format_response(self.world.cancel(words[0]))

    def do_report(self, words: list[str]) -> str:
        fields = parse_fields(words[1:])
        machine = words[0]
        sequence = fields.pop("counter", self.sequences.get(machine, 0) + 1)
        self.sequences[machine] = max(sequence, self.sequences.get(machine, 0))
        names = {
            "shift": "Shift",
            "token": "Baton",
            "zone": "Site",
            "spot": "Loaners",
            "recall": "RecallS",
        }
        sent = {names.get(key, key): val for key, val in fields.items()}
        answer = self.world.report(machine, parse_tasks(words[1:]), Counter=sequence, **sent)
        return format_response(answer)

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
        lease_id = 0 if words[1:] == ["none"] or member is None else member.lease_id
        self.world.store.set(records.VERSION_PREFIX + words[0], [records.BASE_LEVEL, lease_id])
        return ""

    def do_restart(self, words: list[str]) -> str:
        self.world.restart()
        return ""

    def do_holds(self, words: list[str]) -> str:
        job, _, index = words[0].partition("/")
        record = self.world.core.view.jobs.get(JobId(job))
        found = [entry for entry in record.entries if entry.index == int(index)] if record else []
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
        fields = parse_fields(words[1:])
        known = self.world.core.view.members.get(words[0])
        lease_id = known.lease_id if known and fields.get("lease") == "same" else 0
        cancellations = {"none": None, "nothing": {}}.get(
            fields.get("told", "none"), {fields.get("told", ""): 1}
        )
        extra = {key: fields[key] for key in ("lacks", "newer") if key in fields}
        frame = self.world.peer_frame(
            words[0], float(fields["age"]), lease_id=lease_id, cancellations=cancellations, **extra
        )
        self.world.peer(frame)
        return ""

    def do_members(self, words: list[str]) -> str:
        roster = self.world.core.view.roster
        return " ".join(m.name for m in roster.members) if roster else "nobody"

    def do_listed(self, words: list[str]) -> str:
        machine = {"NameId": words[0], "Addr": "10.0.0.9:9000", "Build": "g2", "Site": "a"}
        listing = {"Loaners": False, "Status": words[1], "HeldS": 5.0}
        self.world.listed[words[0]] = machine | listing
        return ""

    def do_unlisted(self, words: list[str]) -> str:
        self.world.listed.pop(words[0], None)
        return ""

    def do_direct(self, words: list[str]) -> str:
        """Return the commands sent to workers' own addresses since the previous call."""
        sent, self.world.sent_commands = self.world.sent_commands, []
        commands = [c for request in sent for c in request.commands]
        return " ".join(f"{c.verb} {c.task}#{c.attempt}" for c in commands) or "nothing"

    def do_hires(self, words: list[str]) -> str:
        """Return the number of distinct hire requests and of the machines they ask for."""
        asked = {b["Hire"]: b["Count"] for verb, b in self.world.calls if verb == "hire"}
        return f"{len(asked)} {sum(asked.values())}"


def test_trace_files_are_found() -> None:
    """Guards against a wrong path, with which the parametrized test would run nothing."""
    assert len(TRACES) >= 12


@pytest.mark.parametrize("path", TRACES, ids=lambda p: p.stem)
def test_trace_leads_to_its_expected_outputs(path: Path) -> None:
    player = TracePlayer()
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
