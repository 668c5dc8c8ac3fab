"""HTTP client that the command line uses to talk to a controller."""

import asyncio
import json
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from coursefold.protocol.wire import encode
from coursefold.transport.http_client import HttpClient, NoResponseError

REQUEST_TIMEOUT_S = 5.0


class RequestError(Exception):
    """A request that failed or got no response; the message is one line for the user."""


class JobDescriptionError(Exception):
    """A job description file that cannot be read or parsed."""


def read_job_description(path: Path) -> dict[str, Any]:
    """Read a job's fields from a file: JSON if its name ends in .json, TOML otherwise.

    Raises:
        JobDescriptionError: The file cannot be read, or does not hold a table of fields.
    """
    try:
        text = path.read_text(encoding="utf-8")
        body = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except OSError as error:
        raise JobDescriptionError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise JobDescriptionError(f"{path}: {error}") from None
    if not isinstance(body, dict):
        raise JobDescriptionError(f"{path}: not a table of fields")
    return body


def fetch_health(node: str) -> dict[str, Any]:
    """Return the body of a controller's /healthz, whether it is healthy or not.

    Raises:
        RequestError: The controller does not respond.
    """
    return _fetch(node, "GET", "/healthz")[1]


def send_request(
    node: str, method: str, path: str, body: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Send a request and return the body of the response.

    Raises:
        RequestError: There is no response, or its status is neither 200 nor 201.
    """
    status, response = _fetch(node, method, path, body)
    if status not in (200, 201):
        reason = response.get("error") or "no reason given"
        raise RequestError(f"{status}: {reason}")
    return response


def _fetch(
    node: str, method: str, path: str, body: dict[str, Any] | None = None
) -> tuple[int, dict[str, Any]]:
    async def fetch_once() -> tuple[int, bytes]:
        payload = None if body is None else encode(body)
        return await HttpClient(node, 1).fetch(method, path, payload, REQUEST_TIMEOUT_S)

    try:
        status, content = asyncio.run(fetch_once())
    except NoResponseError as error:
        raise RequestError(f"{node} does not answer: {error}") from None
    try:
        decoded = msgspec.msgpack.decode(content)
    except msgspec.MsgspecError:
        decoded = {}
    return status, decoded if isinstance(decoded, dict) else {}
