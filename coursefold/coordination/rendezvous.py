"""The parting of machines among live controllers.

Rendezvous hashing by the members' names: a restarted member gets its part back,
and a lost one's part spreads over the rest. Members of the machine's own zone
come first, since a cut between zones must not part a worker from its owner.
"""

from hashlib import blake2b

from coursefold.storage.records import Roster


def rendezvous_weight(member: str, machine: str) -> bytes:
    """The order of members for a machine: the highest owns it."""
    return blake2b(f"{member}\0{machine}".encode(), digest_size=8).digest()


def hash_owner(machine: str, zone: str, roster: Roster) -> str | None:
    """The member that owns a machine under a roster."""
    if not roster.members:
        return None
    near = [m for m in roster.members if m.zone == zone] or roster.members
    return max(near, key=lambda m: rendezvous_weight(m.name, machine)).name
