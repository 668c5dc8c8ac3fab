"""The version in production beside the one under test, both in one process.

Its sources come from this repository's own history, at the commit that
`deploy/service.toml` names, and are imported under another package name. Without that
history nothing here can be shown, so it fails and is not skipped.
"""

import importlib
import importlib.util
import io
import re
import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path
from types import SimpleNamespace
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
NAME = "coursefold_in_production"
IMPORT = re.compile(r"^(\s*(?:from|import) )coursefold\b", re.MULTILINE)


class Version(SimpleNamespace):
    """What a simulated controller needs of one version's modules."""

    name: str
    Core: Any
    Settings: Any
    records: Any
    codec: Any  # in production's time a part of `records`


def _version(name: str, package: str) -> Version:
    effects = importlib.import_module(f"{package}.coordination.effects")
    records = importlib.import_module(f"{package}.storage.records")
    has_codec = importlib.util.find_spec(f"{package}.storage.codec") is not None
    return Version(
        name=name,
        Core=importlib.import_module(f"{package}.coordination.core").Core,
        Settings=importlib.import_module(f"{package}.settings").Settings,
        records=records,
        codec=importlib.import_module(f"{package}.storage.codec") if has_codec else records,
        view=importlib.import_module(f"{package}.storage.view"),
        **{kind: getattr(effects, old if package == NAME else kind) for kind, old in KINDS.items()},
    )


# New names of attributes that tests use on both versions: module, class, new name, old name.
ALIASES: dict[str, dict[str, dict[str, str]]] = {
    "coordination.context": {
        "Context": {
            "effects": "out",
            "is_active": "active",
            "is_leading": "leading",
            "lease_id": "permit",
            "own_name": "me",
            "wall_time": "wall",
            "watch_ok_at": "follow_ok_at",
        },
    },
    "coordination.core": {
        "Core": {
            "frame_builders": "tellers",
            "handle_report": "report",
            "is_healthy": "healthy",
            "next_frame": "frame",
            "peer_connected": "linked",
            "receive_cloud_response": "cloud",
            "receive_frame": "peer",
            "receive_job_result": "read",
            "requests_awaiting_refresh": "questions",
            "set_time": "at",
            "take_effects": "drain",
            "view_refreshed": "vouched",
        },
    },
    "coordination.effects": {
        "CloudCall": {"call_id": "call"},
        "Direct": {"address": "addr", "commands": "orders"},
    },
    "coordination.forward": {"Forwarding": {"receive_proposals": "proposals"}},
    "storage.queue": {
        "CommitQueue": {
            "handle_conflict": "conflicted",
            "handle_invalid": "invalid",
            "handle_missing_response": "unknown",
            "handle_refusal": "refused",
            "handle_success": "applied",
            "mark_refreshed": "refreshed",
            "settle_ended_job": "over",
        },
    },
    "storage.view": {
        "View": {
            "apply_removal": "drop",
            "apply_value": "put",
            "fencing_token": "token",
            "is_loaded": "loaded",
            "records_by_key": "held",
            "revision": "ledger",
            "waiting_jobs": "waiting",
        },
    },
}

# The same for functions of modules: module, new name, old name.
FUNCTION_ALIASES: dict[str, dict[str, str]] = {
    "storage.records": {"decode_record": "parse", "encode_record": "dump"},
}


def _alias(old: str) -> property:
    return property(lambda self: getattr(self, old), lambda self, to: setattr(self, old, to))


def _add_aliases() -> None:
    """Give production's classes the names that this version has for the same attributes."""
    for module, classes in ALIASES.items():
        for name, attributes in classes.items():
            kind = getattr(importlib.import_module(f"{NAME}.{module}"), name)
            for new, old in attributes.items():
                setattr(kind, new, _alias(old))
    for module, functions in FUNCTION_ALIASES.items():
        source = importlib.import_module(f"{NAME}.{module}")
        for new, old in functions.items():
            setattr(source, new, getattr(source, old))


# Effects by their names here, and their names in production.
KINDS = {
    "CloudCall": "CloudCall",
    "NotifyPeers": "Tell",
    "ReadJobResult": "Read",
    "RefreshView": "Vouch",
    "Response": "Answer",
    "SendCommands": "Direct",
}
OURS = _version("ours", "coursefold")


def commit() -> str:
    """The commit that runs in production."""
    text = (ROOT / "deploy" / "service.toml").read_text(encoding="utf-8")
    return str(tomllib.loads(text)["production"])


def _unpack(into: Path) -> None:
    command = ["git", "-C", str(ROOT), "archive", commit(), "coursefold"]
    made = subprocess.run(command, capture_output=True, check=False)
    if made.returncode:
        raise AssertionError(f"production's sources: {made.stderr.decode().strip()}")
    with tarfile.open(fileobj=io.BytesIO(made.stdout)) as archive:
        for member in archive.getmembers():
            source = archive.extractfile(member)
            if source is None or not member.name.endswith(".py"):
                continue
            path = into / NAME / Path(member.name).relative_to("coursefold")
            path.parent.mkdir(parents=True, exist_ok=True)
            # Each version's messages are those of its own time, so they have a pool of their own.
            text = source.read().decode().replace("_pool.Default()", "_pool.DescriptorPool()")
            path.write_text(IMPORT.sub(rf"\1{NAME}", text), encoding="utf-8")


def production(folder: Path) -> Version:
    """Production's modules, unpacked into an empty folder at the first call."""
    if NAME not in sys.modules:
        _unpack(folder)
        sys.path.insert(0, str(folder))
        try:
            importlib.import_module(NAME)
            _add_aliases()
            return _version("production", NAME)
        finally:
            sys.path.remove(str(folder))
    return _version("production", NAME)
