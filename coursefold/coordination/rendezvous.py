"""Partition of the machines among the live controllers.

Rendezvous hashing by member name: a restarted member gets the same machines back, and those of
a failed member spread over the rest. Members in the machine's own zone are preferred, so that
a network partition between zones does not separate a worker from its owner.
"""

from hashlib import blake2b

from coursefold.storage.records import Roster


def rendezvous_weight(member: str, machine: str) -> bytes:
    """Return the member's weight for a machine; the member with the highest weight owns it."""
    return blake2b(f"{member}\0{machine}".encode(), digest_size=8).digest()


def hash_owner(machine: str, zone: str, roster: Roster) -> str | None:
    """Return the member that owns a machine under a roster; None if the roster is empty."""
    if not roster.members:
        return None
    candidates = [m for m in roster.members if m.zone == zone] or roster.members
    return max(candidates, key=lambda m: rendezvous_weight(m.name, machine)).name
