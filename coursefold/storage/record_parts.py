"""Splits records that are too large for one value of the state service over several keys.

Head and parts are written in one transaction, so that they carry the same version (`Stamp`).
A reader recognizes by the version which parts belong to a head.
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
    """A value as it is written: the head under the record's own key, then the parts in order.

    A value that fits under one key is its own head and has no parts.
    """

    head: Any
    parts: list[str]


HEAD_OVERHEAD_BYTES = 40  # what a head takes besides its text
MAX_UNPACKED_BYTES = 8 * 1024 * 1024


class SplitHead(Struct, frozen=True, forbid_unknown_fields=True):
    """The head of a split record.

    Attributes:
        parts: The number of parts that follow.
        text: The first piece of the record's text.
    """

    parts: int
    text: str


def split_value(value: Any, limit_bytes: int) -> SplitValue:
    """Split a value so that no key takes more than `limit_bytes` bytes.

    A value that fits stays as it is and can be read by people. A larger one is compressed (the
    entries of a gang differ by a few digits each), encoded in base64 and cut into pieces.
    """
    if json_size_bytes(value) <= limit_bytes:
        return SplitValue(value, [])
    text = base64.b64encode(zlib.compress(msgspec.msgpack.encode(value), 6)).decode()
    piece_bytes = limit_bytes - HEAD_OVERHEAD_BYTES
    pieces = [text[at : at + piece_bytes] for at in range(0, len(text), piece_bytes)]
    return SplitValue({"parts": len(pieces) - 1, "text": pieces[0]}, pieces[1:])


def parse_head(value: Any) -> SplitHead | None:
    """Return the head of a split record, or None for a plain value.

    Raises:
        ValueError: The value has the key `parts` but is not a head.
    """
    if not isinstance(value, dict) or "parts" not in value:
        return None
    try:
        return msgspec.convert(value, SplitHead)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None


def join_parts(texts: list[str]) -> Any:
    """Return the value whose pieces, head first, are `texts`.

    Raises:
        ValueError: The text is damaged, truncated, or unpacks to more than MAX_UNPACKED_BYTES.
    """
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(
            base64.b64decode("".join(texts), validate=True), MAX_UNPACKED_BYTES
        )
        if not decompressor.eof:
            raise ValueError("compressed record is truncated or exceeds the unpacked size limit")
        return msgspec.msgpack.decode(raw)
    except (binascii.Error, zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(str(error)) from None


def part_key(key: str, number: int) -> Key:
    """Return the key of a record's part; parts are numbered from 1."""
    return Key(f"{PART_PREFIX}{key.removeprefix(ROOT)}/{number}")


def part_key_prefix(key: str) -> str:
    """Return the common prefix of the keys of all parts of a record."""
    return f"{PART_PREFIX}{key.removeprefix(ROOT)}/"


def head_key(part: str) -> Key:
    """Return the key of the record to which a part's key belongs."""
    return Key(ROOT + part.removeprefix(PART_PREFIX).rpartition("/")[0])
