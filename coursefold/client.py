"""Requests of the command line to a controller."""

import asyncio
import json
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from coursefold.protocol.wire import encode
from coursefold.transport.http_client import HttpClient, NoAnswerError

REQUEST_TIMEOUT_S = 5.0


class RequestError(Exception):
    """One plain line of why there is no success."""


class JobDescriptionError(Exception):
    """A job description that can't be read."""


def read_job_description(path: Path) -> dict[str, Any]:
    """A job's fields from TOML, or JSON where the name ends in .json."""
    try:
        text = path.read_text(encoding="utf-8")
        body = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except OSError as wrong:
        raise JobDescriptionError(f"{path}: {wrong.strerror}") from None
    except ValueError as wrong:
        raise JobDescriptionError(f"{path}: {wrong}") from None
    if not isinstance(body, dict):
        raise JobDescriptionError(f"{path}: not a table of fields")
    return body


def fetch_health(node: str) -> dict[str, Any]:
    """What a controller says of itself, well or not."""
    return _fetch(node, "GET", "/healthz")[1]


def send_request(
    node: str, method: str, path: str, body: dict[str, Any] | None = None
) -> dict[str, Any]:
    """The answer of a successful request."""
    status, answer = _fetch(node, method, path, body)
    if status not in (200, 201):
        why = answer.get("error") or "no reason given"
        raise RequestError(f"{status}: {why}")
    return answer


def _fetch(
    node: str, method: str, path: str, body: dict[str, Any] | None = None
) -> tuple[int, dict[str, Any]]:
    async def once() -> tuple[int, bytes]:
        payload = None if body is None else encode(body)
        return await HttpClient(node, 1).fetch(method, path, payload, REQUEST_TIMEOUT_S)

    try:
        status, raw = asyncio.run(once())
    except NoAnswerError as wrong:
        raise RequestError(f"{node} does not answer: {wrong}") from None
    try:
        answer = msgspec.msgpack.decode(raw)
    except msgspec.MsgspecError:
        answer = {}
    return status, answer if isinstance(answer, dict) else {}
