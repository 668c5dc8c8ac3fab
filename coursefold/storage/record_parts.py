"""Records too large for one value, laid over several keys.

Head and parts are written in one transaction, so that they carry the same Stamp, which is how
a reader knows that they belong together.
"""

import base64
import binascii
import zlib
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import Key
from coursefold.storage.codec import json_size_bytes
from coursefold.storage.records import PART_PREFIX, ROOT


class SplitValue(NamedTuple):
    """A value laid over several keys: the record's own, and its parts in order."""

    head: Any
    parts: list[str]


HEAD_OVERHEAD_BYTES = 40  # a head's own bytes around its text
MAX_UNPACKED_BYTES = 8 * 1024 * 1024


class SplitHead(Struct, frozen=True, forbid_unknown_fields=True):
    """The head of a record too large for one value: how many parts follow, and the first text."""

    parts: int
    text: str


def split_value(value: Any, limit: int) -> SplitValue:
    """A value as it is written within `limit` bytes a key.

    One that fits stays as it is, for people to read. A larger one is compressed (a
    gang's places differ by a few digits each) and cut; head and parts are written in one
    transaction, so that they carry the same Stamp, which is how a reader knows that they
    belong together.
    """
    if json_size_bytes(value) <= limit:
        return SplitValue(value, [])
    text = base64.b64encode(zlib.compress(msgspec.msgpack.encode(value), 6)).decode()
    room = limit - HEAD_OVERHEAD_BYTES
    cut = [text[at : at + room] for at in range(0, len(text), room)]
    return SplitValue({"parts": len(cut) - 1, "text": cut[0]}, cut[1:])


def parse_head(value: Any) -> SplitHead | None:
    """The head of a record that is laid over several keys, or None for a plain value."""
    if not isinstance(value, dict) or "parts" not in value:
        return None
    try:
        return msgspec.convert(value, SplitHead)
    except msgspec.ValidationError as wrong:
        raise ValueError(str(wrong)) from None


def join_parts(texts: list[str]) -> Any:
    """A spread value put together again; ValueError if it is damaged."""
    try:
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(
            base64.b64decode("".join(texts), validate=True), MAX_UNPACKED_BYTES
        )
        if not unpacker.eof:
            raise ValueError("cut short or too large")
        return msgspec.msgpack.decode(raw)
    except (binascii.Error, zlib.error, msgspec.MsgspecError) as wrong:
        raise ValueError(str(wrong)) from None


def part_key(key: str, number: int) -> Key:
    """The key of a record's part, counted from 1."""
    return Key(f"{PART_PREFIX}{key.removeprefix(ROOT)}/{number}")


def part_key_prefix(key: str) -> str:
    """What the keys of all parts of a record begin with."""
    return f"{PART_PREFIX}{key.removeprefix(ROOT)}/"


def head_key(part: str) -> Key:
    """The record that a part belongs to."""
    return Key(ROOT + part.removeprefix(PART_PREFIX).rpartition("/")[0])
