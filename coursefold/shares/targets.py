"""Computes how many machines each controller is to own, and which transfers lead there."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from coursefold.shares.config import ShareRule

Scope = tuple[str, str]  # machine type and zone; an empty zone stands for all zones together
DEFAULT_WEIGHT = 1.0  # of a controller that the rules do not name


class Target(NamedTuple):
    """How many machines a controller is to own.

    Attributes:
        machine_count: Machines that it is to own.
        reason: Why these are fewer than its share; empty if they are not.
    """

    machine_count: int
    reason: str = ""


class Transfer(NamedTuple):
    """A number of machines that are to move from one controller to another."""

    source: str
    target: str
    machine_count: int


def apportion(total: int, weights: Sequence[float]) -> list[int]:
    """Divide a total by weight into whole parts, by the largest remainder method.

    The parts add up to the total; all are 0 if no weight is positive.
    """
    weight_sum = sum(weights)
    if weight_sum <= 0:
        return [0] * len(weights)
    exact = [total * weight / weight_sum for weight in weights]
    parts = [int(part) for part in exact]
    by_remainder = sorted(range(len(weights)), key=lambda index: parts[index] - exact[index])
    for index in by_remainder[: total - sum(parts)]:
        parts[index] += 1
    return parts


def compute_targets(
    rules: Sequence[ShareRule],
    machine_count: int,
    live: Sequence[str],
    max_owned: Mapping[str, int],
) -> dict[str, Target]:
    """Return the targets of the live controllers that the rules of one scope name.

    A controller that is down has no target; its share goes to the others until it is back.
    Counts are met first. What is left is divided by weight, in which each controller without a
    rule takes part with `DEFAULT_WEIGHT`.

    Args:
        rules: Rules of the scope.
        machine_count: Machines in the scope.
        live: Names of the controllers that are members of the roster.
        max_owned: Machines of this scope for which each controller has sockets; no limit for
            a controller that is missing.
    """
    live_rules = [rule for rule in rules if rule.controller in live]
    counted = [rule for rule in live_rules if rule.machines is not None]
    weighted = [rule for rule in live_rules if rule.weight is not None]
    targets = _targets_by_count(counted, machine_count)
    rest = machine_count - sum(target.machine_count for target in targets.values())
    unnamed_count = len(live) - len(live_rules)
    weights = [rule.weight or 0.0 for rule in weighted] + [DEFAULT_WEIGHT] * unnamed_count
    parts = apportion(rest, weights)
    for rule, part in zip(weighted, parts, strict=False):
        targets[rule.controller] = Target(part)
    return {name: _cap_target(target, max_owned.get(name)) for name, target in targets.items()}


def _targets_by_count(rules: Sequence[ShareRule], machine_count: int) -> dict[str, Target]:
    """Return the counts of the rules, reduced in proportion if there are too few machines."""
    counts = [rule.machines or 0 for rule in rules]
    if sum(counts) <= machine_count:
        return {rule.controller: Target(count) for rule, count in zip(rules, counts, strict=True)}
    parts = apportion(machine_count, [float(count) for count in counts])
    reason = f"{sum(counts)} machines are asked for and there are {machine_count}"
    return {rule.controller: Target(part, reason) for rule, part in zip(rules, parts, strict=True)}


def _cap_target(target: Target, max_owned: int | None) -> Target:
    """Limit a target to the machines that the controller has sockets for."""
    if max_owned is None or target.machine_count <= max_owned:
        return target
    return Target(
        max(0, max_owned),
        f"it has connections for {max(0, max_owned)} of {target.machine_count}",
    )


def compute_transfers(
    owned: Mapping[str, int],
    targets: Mapping[str, Target],
    tolerance: int,
    max_owned: Mapping[str, int],
) -> list[Transfer]:
    """Return transfers that meet the targets, as far as possible, with the fewest moves.

    A controller that is off its target by more than the tolerance takes or gives machines until
    it meets the target. The other side of each transfer is a controller that is off its target
    in the other direction, if there is one; else one without a target, the one with the most
    machines for giving and the one with the fewest for taking.

    Args:
        owned: Machines of the scope by controller, all live ones included.
        targets: Targets by controller; a controller without one has no share of its own.
        tolerance: Machines by which a controller may be off its target without a transfer.
        max_owned: Machines of the scope for which each controller has sockets.
    """
    counts = dict(owned)
    moved: dict[tuple[str, str], int] = {}

    def move(source: str, target: str) -> None:
        counts[source] -= 1
        counts[target] += 1
        moved[(source, target)] = moved.get((source, target), 0) + 1

    def excess(name: str) -> int:
        return counts[name] - targets[name].machine_count

    untargeted = [name for name in sorted(counts) if name not in targets]
    targeted = [name for name in sorted(counts) if name in targets]
    for name in [n for n in targeted if excess(n) < -tolerance]:
        while excess(name) < 0:
            givers = [n for n in targeted if excess(n) > 0]
            source = max(givers, key=excess, default=None)
            if source is None:
                source = max(untargeted, key=counts.__getitem__, default=None)
            if source is None or counts[source] <= 0:
                break
            move(source, name)
    for name in [n for n in targeted if excess(n) > tolerance]:
        while excess(name) > 0:
            takers = [n for n in targeted if excess(n) < 0]
            target = min(takers, key=excess, default=None)
            if target is None:
                with_sockets = [
                    n for n in untargeted if counts[n] < max_owned.get(n, counts[n] + 1)
                ]
                target = min(with_sockets, key=counts.__getitem__, default=None)
            if target is None:
                break
            move(name, target)
    return [Transfer(source, target, count) for (source, target), count in moved.items()]
