"""Effects: the actions that the core asks its surroundings to carry out."""

from typing import Any, NamedTuple

from coursefold.protocol.wire import Command


class Response(NamedTuple):
    """Send the HTTP response of a request.

    Attributes:
        ticket: The number under which the transport knows the request.
        status: The HTTP status code.
        body: The response body.
        retry_after: The Retry-After header in seconds; None leaves it out.
    """

    ticket: int
    status: int
    body: dict[str, Any]
    retry_after: int | None = None


class RefreshView(NamedTuple):
    """Read all changes from the state service up to now.

    Requests wait for a view that is at least as recent as they are.
    """


class ReadJobResult(NamedTuple):
    """Read the stored result of a job that the view does not hold.

    The result is passed to `Core.receive_job_result` with the same ticket.
    """

    ticket: int
    job: str


class CloudCall(NamedTuple):
    """Send a request to the cloud service.

    The response is passed to `Core.receive_cloud_response` with the same `call_id`.
    """

    call_id: int
    verb: str  # catalog, list, hire or return
    body: dict[str, Any]


class NotifyPeers(NamedTuple):
    """Wake the connections to these siblings: frames are ready to be sent to them."""

    members: list[str]


class SendCommands(NamedTuple):
    """Send commands to a worker's own address.

    Such a request may be executed late, so it never contains a `run` command.

    Attributes:
        address: The worker's address, as `host:port`.
        token: The fencing token under which the commands are sent.
        session: The worker session that the commands are meant for.
        commands: The commands.
    """

    address: str
    token: int
    session: int
    commands: list[Command]


Effect = Response | RefreshView | ReadJobResult | CloudCall | NotifyPeers | SendCommands
