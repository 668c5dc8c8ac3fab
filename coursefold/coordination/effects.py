"""What the core asks the outside to do."""

from typing import Any, NamedTuple

from coursefold.protocol.wire import Order


class Response(NamedTuple):
    """The response to a request that the transport knows by its ticket."""

    ticket: int
    status: int
    body: dict[str, Any]
    retry_after: int | None = None


class RefreshView(NamedTuple):
    """Follow the state service up to now: questions wait that need a view as new as they are."""


class ReadJobResult(NamedTuple):
    """Read a job's final state, which the view does not hold; the outcome comes back."""

    ticket: int
    job: str


class CloudCall(NamedTuple):
    """A request to the cloud; its outcome comes back with the same `call`."""

    call_id: int
    verb: str  # catalog, list, hire, return
    body: dict[str, Any]


class NotifyPeers(NamedTuple):
    """Frames wait for these siblings."""

    members: list[str]


class SendCommands(NamedTuple):
    """Commands sent to a worker's own address; never a `run`, which might execute late."""

    address: str
    token: int
    session: int
    commands: list[Order]


Effect = Response | RefreshView | ReadJobResult | CloudCall | NotifyPeers | SendCommands
