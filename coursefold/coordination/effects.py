"""What the core asks the outside to do."""

from typing import Any, NamedTuple

from coursefold.protocol.wire import Order


class Answer(NamedTuple):
    """The response to a request that the transport knows by its ticket."""

    ticket: int
    status: int
    body: dict[str, Any]
    retry_after: int | None = None


class Read(NamedTuple):
    """Read a job through to the state service; the outcome comes back with the ticket."""

    ticket: int
    job: str


class CloudCall(NamedTuple):
    """A request to the cloud; its outcome comes back with the same `call`."""

    call: int
    verb: str  # catalog, list, hire, return
    body: dict[str, Any]


class Tell(NamedTuple):
    """The newest summary goes to every sibling, now."""


class Direct(NamedTuple):
    """Commands sent to a worker's own address; never a `run`, which might execute late."""

    addr: str
    token: int
    session: int
    orders: list[Order]


Effect = Answer | Read | CloudCall | Tell | Direct
