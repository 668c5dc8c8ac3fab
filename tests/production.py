"""Import the version in production next to the version under test, in one process.

The production sources are read from this repository's git history, at the commit named
in `deploy/service.toml`, and imported under another package name. If the history lacks
that commit, the tests fail instead of being skipped.
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
PRODUCTION_PACKAGE = "coursefold_in_production"
IMPORT_PATTERN = re.compile(r"^(\s*(?:from|import) )coursefold\b", re.MULTILINE)


class Version(SimpleNamespace):
    """The modules and classes of one version that a simulated controller uses.

    The effect classes are further attributes, named by the keys of `EFFECT_NAMES`.
    """

    name: str
    Core: Any
    Settings: Any
    records: Any
    codec: Any  # the same module as `records` in a version without `storage.codec`


def _version(name: str, package: str) -> Version:
    """Import the modules of a version from its package."""
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
        **{
            new: getattr(effects, old if package == PRODUCTION_PACKAGE else new)
            for new, old in EFFECT_NAMES.items()
        },
    )


# Attributes that tests use on both versions, with their name in production:
# module -> class -> name in this version -> name in production.
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

# Functions that tests use on both versions: module -> name in this version -> name in production.
FUNCTION_ALIASES: dict[str, dict[str, str]] = {
    "storage.records": {"decode_record": "parse", "encode_record": "dump"},
}


def _make_alias(old: str) -> property:
    """Return a property that reads and writes the attribute named `old`."""
    return property(lambda self: getattr(self, old), lambda self, value: setattr(self, old, value))


def _add_aliases() -> None:
    """Add the names of this version to the classes and modules of the production version."""
    for module, classes in ALIASES.items():
        for name, attributes in classes.items():
            aliased_class = getattr(importlib.import_module(f"{PRODUCTION_PACKAGE}.{module}"), name)
            for new, old in attributes.items():
                setattr(aliased_class, new, _make_alias(old))
    for module, functions in FUNCTION_ALIASES.items():
        source = importlib.import_module(f"{PRODUCTION_PACKAGE}.{module}")
        for new, old in functions.items():
            setattr(source, new, getattr(source, old))


# Effect classes: name in this version -> name in production.
EFFECT_NAMES = {
    "CloudCall": "CloudCall",
    "NotifyPeers": "Tell",
    "ReadJobResult": "Read",
    "RefreshView": "Vouch",
    "Response": "Answer",
    "SendCommands": "Direct",
}
OURS = _version("ours", "coursefold")


def read_production_commit() -> str:
    """Return the id of the commit that runs in production, from `deploy/service.toml`."""
    text = (ROOT / "deploy" / "service.toml").read_text(encoding="utf-8")
    return str(tomllib.loads(text)["production"])


def _unpack(into: Path) -> None:
    """Write the production package, under its other name, into a directory.

    Raises:
        AssertionError: the git history lacks the commit.
    """
    command = ["git", "-C", str(ROOT), "archive", read_production_commit(), "coursefold"]
    archived = subprocess.run(command, capture_output=True, check=False)
    if archived.returncode:
        raise AssertionError(
            f"cannot read the production sources: {archived.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        for member in archive.getmembers():
            source = archive.extractfile(member)
            if source is None or not member.name.endswith(".py"):
                continue
            path = into / PRODUCTION_PACKAGE / Path(member.name).relative_to("coursefold")
            path.parent.mkdir(parents=True, exist_ok=True)
            # Both versions register protobuf messages under the same names, so production's
            # messages need a descriptor pool of their own.
            text = source.read().decode().replace("_pool.Default()", "_pool.DescriptorPool()")
            path.write_text(IMPORT_PATTERN.sub(rf"\1{PRODUCTION_PACKAGE}", text), encoding="utf-8")


def production(directory: Path) -> Version:
    """Return the version in production.

    The first call unpacks its package into `directory`, which must be empty, and adds the
    aliases; later calls use the modules that are already imported.
    """
    if PRODUCTION_PACKAGE not in sys.modules:
        _unpack(directory)
        sys.path.insert(0, str(directory))
        try:
            importlib.import_module(PRODUCTION_PACKAGE)
            _add_aliases()
            return _version("production", PRODUCTION_PACKAGE)
        finally:
            sys.path.remove(str(directory))
    return _version("production", PRODUCTION_PACKAGE)
