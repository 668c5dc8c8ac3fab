"""The platform's settings file, read and checked before anything else happens."""

import math
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct

PositiveFloat = Annotated[float, Meta(gt=0, le=1e6)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e9)]
MIN_VALUE_KB = 0.5
CANCEL_MARGIN_S = 5.0  # beyond a lease: the state service's next news may take 4 s
CLOCK_DRIFT_FACTOR = 1.002  # two clocks may each be off by 0.05%; this is twice that and more
T = TypeVar("T")
ShortName = Annotated[str, Meta(min_length=1, max_length=100)]


class SettingsError(Exception):
    """One plain line: the file, the field, what is wrong with it."""


class Sibling(Struct, frozen=True):
    """Another controller of this cell."""

    member: ShortName
    zone: ShortName
    peer_addr: str


class Services(Struct, frozen=True):
    """Addresses of the cloud and the state service."""

    cloud: str
    state: str


class Team(Struct, frozen=True):
    """Guarantee and limit; a limit of 0 means none."""

    name: ShortName
    cpus: NonNegativeFloat = 0.0
    cpus_max: NonNegativeFloat = 0.0
    gpus: NonNegativeFloat = 0.0
    gpus_max: NonNegativeFloat = 0.0


class Objective(Struct, frozen=True):
    """One aim as the platform states it; `lane` is empty where it spans all classes."""

    kind: str
    job_class: str = msgspec.field(default="", name="class")
    within_s: float = 0.0
    share: float = 0.0


class Workers(Struct, frozen=True):
    """Times that workers go by."""

    report_s: PositiveFloat
    lease_s: PositiveFloat
    gang_wait_s: PositiveFloat
    gang_peer_s: PositiveFloat
    cancel_s: PositiveFloat


class LaterLimits(Struct, frozen=True):
    """What the state service will allow from some moment on; a field left out stays."""

    rps: PositiveFloat | None = None
    write_rps: PositiveFloat | None = None
    value_kb: PositiveFloat | None = None
    txn_ops: Annotated[int, Meta(ge=2, le=10000)] | None = None


class StateLimits(Struct, frozen=True):
    """What the state service takes now, and later."""

    rps: PositiveFloat
    write_rps: PositiveFloat
    value_kb: PositiveFloat
    txn_ops: Annotated[int, Meta(ge=2, le=10000)]
    next: LaterLimits | None = None

    def apply_next(self) -> "StateLimits":
        """The limits to come: of each the smaller one, and none where nothing is said."""
        told = msgspec.structs.asdict(self.next) if self.next else {}
        lower = {k: min(v, getattr(self, k)) for k, v in told.items() if v is not None}
        return msgspec.structs.replace(self, next=None, **lower)


class CloudLimits(Struct, frozen=True):
    """What the cloud takes, and how late its list is."""

    rps: PositiveFloat
    list_lag_s: NonNegativeFloat


class Resources(Struct, frozen=True):
    """What one controller may use."""

    cores: PositiveFloat
    memory_mb: PositiveFloat
    fd_limit: Annotated[int, Meta(ge=32, le=10_000_000)]


class Params(Struct, frozen=True):
    """What all controllers have in common."""

    zones: list[ShortName]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    resources: Resources
    skew_ms: NonNegativeFloat = 0.0
    objectives: list[Objective] = []


class Settings(Struct, frozen=True):
    """One controller's settings."""

    member: ShortName
    zone: ShortName
    listen: str
    peer_listen: str
    services: Services
    params: Params
    siblings: list[Sibling] = []


def split_address(text: str) -> tuple[str, int]:
    """`10.0.0.1:8080` as host and port."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def _check_value_limit(state: StateLimits) -> None:
    """A packed record's head has to hold its own frame and some of the text."""
    if state.value_kb < MIN_VALUE_KB:
        raise SettingsError(f"params.state.value_kb: must be at least {MIN_VALUE_KB:g}")
    if state.apply_next().value_kb < MIN_VALUE_KB:
        raise SettingsError(f"params.state.next.value_kb: must be at least {MIN_VALUE_KB:g}")


def _check(settings: Settings) -> None:
    """What a type alone cannot say."""
    addresses = {
        "listen": settings.listen,
        "peer_listen": settings.peer_listen,
        "services.cloud": settings.services.cloud,
        "services.state": settings.services.state,
    }
    for at, sibling in enumerate(settings.siblings):
        addresses[f"siblings[{at}].peer_addr"] = sibling.peer_addr
    for field, text in addresses.items():
        try:
            split_address(text)
        except ValueError as wrong:
            raise SettingsError(f"{field}: {wrong}") from None
    if settings.zone not in settings.params.zones:
        raise SettingsError(f"zone: {settings.zone!r} is not in params.zones")
    names = [settings.member, *(s.member for s in settings.siblings)]
    if len(set(names)) != len(names):
        raise SettingsError("siblings: member names are not all different")
    _check_value_limit(settings.params.state)
    workers = settings.params.workers
    if workers.lease_s <= workers.report_s:
        raise SettingsError("params.workers.lease_s: must exceed report_s")
    least = workers.lease_s * CLOCK_DRIFT_FACTOR + CANCEL_MARGIN_S
    if workers.cancel_s < least:
        # Closer together, no lease could be renewed between one news and the next without
        # outliving a cancellation that was promised meanwhile.
        raise SettingsError(f"params.workers.cancel_s: must be {least:g} or more with this lease_s")


def _check_finite(value: object, path: str) -> None:
    """TOML has `nan` and `inf`; no setting may be either."""
    if isinstance(value, float) and not math.isfinite(value):
        raise SettingsError(f"{path}: not a finite number")
    if isinstance(value, dict):
        for key, inner in value.items():
            _check_finite(inner, f"{path}.{key}" if path else str(key))
    if isinstance(value, list):
        for at, inner in enumerate(value):
            _check_finite(inner, f"{path}[{at}]")


def load_toml(path: Path, read: Callable[[dict[str, Any]], T]) -> T:
    """What `read` makes of a TOML file; every fault is a SettingsError that names it."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        _check_finite(raw, "")
        return read(raw)
    except SettingsError as wrong:
        raise SettingsError(f"{path}: {wrong}") from None
    except OSError as wrong:
        raise SettingsError(f"{path}: {wrong.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise SettingsError(f"{path}: not TOML: {wrong}") from None
    except msgspec.ValidationError as wrong:
        what, _, where = str(wrong).partition(" - at ")
        where = where.strip("`").removeprefix("$.") or "top level"
        raise SettingsError(f"{path}: {where}: {what}") from None


def _read_settings(raw: dict[str, Any]) -> Settings:
    settings = msgspec.convert(raw, Settings)
    _check(settings)
    return settings


def load(path: Path) -> Settings:
    """Read and check a settings file."""
    return load_toml(path, _read_settings)
