"""From shares to whole machines: what each controller is to own, and what has to move."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from coursefold.shares.config import ShareRule

Scope = tuple[str, str]  # machine type; zone, or empty for all of them
DEFAULT_WEIGHT = 1.0  # of a controller without a share, beside those with weights


class Target(NamedTuple):
    """How many machines a controller is to own, and why not as many as its share says."""

    machine_count: int
    reason: str = ""


class Transfer(NamedTuple):
    """So many machines from one controller to another."""

    source: str
    target: str
    machine_count: int


def apportion(total: int, weights: Sequence[float]) -> list[int]:
    """Whole parts of a total by weight, by largest remainder; they sum up to the total."""
    whole = sum(weights)
    if whole <= 0:
        return [0] * len(weights)
    exact = [total * weight / whole for weight in weights]
    parts = [int(part) for part in exact]
    by_remainder = sorted(range(len(weights)), key=lambda at: parts[at] - exact[at])
    for at in by_remainder[: total - sum(parts)]:
        parts[at] += 1
    return parts


def compute_targets(
    rules: Sequence[ShareRule], machines: int, live: Sequence[str], most: Mapping[str, int]
) -> dict[str, Target]:
    """Targets of the controllers that the rules of one scope name.

    A controller that is down has none: its share is the others' meanwhile. `most` are the
    machines that a controller may own of this scope, by its sockets.
    """
    named = [rule for rule in rules if rule.controller in live]
    counted = [rule for rule in named if rule.machines is not None]
    weighted = [rule for rule in named if rule.weight is not None]
    targets = _targets_by_count(counted, machines)
    rest = machines - sum(target.machine_count for target in targets.values())
    unnamed = len(live) - len(named)
    weights = [rule.weight or 0.0 for rule in weighted] + [DEFAULT_WEIGHT] * unnamed
    parts = apportion(rest, weights)
    for rule, part in zip(weighted, parts, strict=False):
        targets[rule.controller] = Target(part)
    return {name: _cap_target(target, most.get(name)) for name, target in targets.items()}


def _targets_by_count(rules: Sequence[ShareRule], machines: int) -> dict[str, Target]:
    wanted = [rule.machines or 0 for rule in rules]
    if sum(wanted) <= machines:
        return {rule.controller: Target(count) for rule, count in zip(rules, wanted, strict=True)}
    parts = apportion(machines, [float(count) for count in wanted])
    why = f"{sum(wanted)} machines are asked for and there are {machines}"
    return {rule.controller: Target(part, why) for rule, part in zip(rules, parts, strict=True)}


def _cap_target(target: Target, most: int | None) -> Target:
    if most is None or target.machine_count <= most:
        return target
    return Target(max(0, most), f"it has connections for {max(0, most)} of {target.machine_count}")


def compute_transfers(
    owned: Mapping[str, int],
    targets: Mapping[str, Target],
    tolerance: int,
    most: Mapping[str, int],
) -> list[Transfer]:
    """The least that has to move for all targets to be met, as far as they can be.

    Controllers with a target that is off by more than the tolerance need or give machines.
    The others balance that: those without a target first, the fullest or emptiest of them.
    """
    have = dict(owned)
    found: dict[tuple[str, str], int] = {}

    def move(source: str, target: str) -> None:
        have[source] -= 1
        have[target] += 1
        found[(source, target)] = found.get((source, target), 0) + 1

    def off_by(name: str) -> int:
        return have[name] - targets[name].machine_count

    outside = [name for name in sorted(have) if name not in targets]
    within = [name for name in sorted(have) if name in targets]
    for name in [n for n in within if off_by(n) < -tolerance]:
        while off_by(name) < 0:
            givers = [n for n in within if off_by(n) > 0]
            source = max(givers, key=off_by, default=None)
            if source is None:
                source = max(outside, key=have.__getitem__, default=None)
            if source is None or have[source] <= 0:
                break
            move(source, name)
    for name in [n for n in within if off_by(n) > tolerance]:
        while off_by(name) > 0:
            takers = [n for n in within if off_by(n) < 0]
            target = min(takers, key=off_by, default=None)
            if target is None:
                open_ones = [n for n in outside if have[n] < most.get(n, have[n] + 1)]
                target = min(open_ones, key=have.__getitem__, default=None)
            if target is None:
                break
            move(name, target)
    return [Transfer(source, target, count) for (source, target), count in found.items()]
