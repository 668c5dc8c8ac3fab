"""The settings file of a controller, read and validated before the service starts."""

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
CANCEL_MARGIN_S = 5.0  # on top of a lease: the state service's next update may take 4 s
CLOCK_DRIFT_FACTOR = 1.002  # each of two clocks may drift by 0.05%; this is twice their sum
T = TypeVar("T")
ShortName = Annotated[str, Meta(min_length=1, max_length=100)]


class SettingsError(Exception):
    """An invalid settings file; the message is one line with file, field and fault."""


class Sibling(Struct, frozen=True):
    """Another controller of this cell; `peer_addr` (HOST:PORT) is where it accepts peers."""

    member: ShortName
    zone: ShortName
    peer_addr: str


class Services(Struct, frozen=True):
    """Addresses (HOST:PORT) of the cloud and the state service."""

    cloud: str
    state: str


class Team(Struct, frozen=True):
    """A team's guaranteed resources and its limits; a limit of 0 means no limit."""

    name: ShortName
    cpus: NonNegativeFloat = 0.0  # guaranteed
    cpus_max: NonNegativeFloat = 0.0
    gpus: NonNegativeFloat = 0.0  # guaranteed
    gpus_max: NonNegativeFloat = 0.0


class Objective(Struct, frozen=True):
    """A service level objective.

    Attributes:
        kind: `wait` (time to the start), `finished` (time to the end) or `guarantee` (time to the
            start of jobs within the guarantee of the team); others are ignored.
        job_class: The class of jobs; empty for all classes.
        within_s: The limit in seconds.
        share: The share of jobs for which the limit is to hold; controllers do not use it.
    """

    kind: str
    job_class: str = msgspec.field(default="", name="class")
    within_s: float = 0.0
    share: float = 0.0


class Workers(Struct, frozen=True):
    """Intervals and timeouts of workers.

    Attributes:
        report_s: Interval of a worker's reports.
        lease_s: Age of the last report with a response at which a worker stops its tasks.
        gang_wait_s: Time that a gang's task waits for the images of the gang's other tasks.
        gang_peer_s: Timeout of workers between the tasks of a gang; not used by controllers.
        cancel_s: Time after the confirmation of a cancellation by which the tasks have ended.
    """

    report_s: PositiveFloat
    lease_s: PositiveFloat
    gang_wait_s: PositiveFloat
    gang_peer_s: PositiveFloat
    cancel_s: PositiveFloat


class LaterLimits(Struct, frozen=True):
    """Announced limits of the state service; an omitted limit does not change."""

    rps: PositiveFloat | None = None
    write_rps: PositiveFloat | None = None
    value_kb: PositiveFloat | None = None
    txn_ops: Annotated[int, Meta(ge=2, le=10000)] | None = None


class StateLimits(Struct, frozen=True):
    """Current limits of the state service, and announced ones (`next`) if there are any.

    Attributes:
        rps: Requests per second.
        write_rps: Changes per second, of all controllers together.
        value_kb: Size of a value.
        txn_ops: Operations in a transaction.
        next: Limits that come into force at some later time.
    """

    rps: PositiveFloat
    write_rps: PositiveFloat
    value_kb: PositiveFloat
    txn_ops: Annotated[int, Meta(ge=2, le=10000)]
    next: LaterLimits | None = None

    def apply_next(self) -> "StateLimits":
        """Return limits that hold before and after `next` applies: the lower value of each."""
        next_limits = msgspec.structs.asdict(self.next) if self.next else {}
        lowest = {
            key: min(limit, getattr(self, key))
            for key, limit in next_limits.items()
            if limit is not None
        }
        return msgspec.structs.replace(self, next=None, **lowest)


class CloudLimits(Struct, frozen=True):
    """Requests per second that the cloud accepts, and the delay of its machine list."""

    rps: PositiveFloat
    list_lag_s: NonNegativeFloat


class Resources(Struct, frozen=True):
    """Resources that one controller may use."""

    cores: PositiveFloat
    memory_mb: PositiveFloat
    fd_limit: Annotated[int, Meta(ge=32, le=10_000_000)]


class Params(Struct, frozen=True):
    """Parameters that are the same for all controllers of the cell.

    `skew_ms` is the bound of the clock skew of a controller in milliseconds.
    """

    zones: list[ShortName]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    resources: Resources
    skew_ms: NonNegativeFloat = 0.0
    objectives: list[Objective] = []


class Settings(Struct, frozen=True):
    """The settings of one controller.

    Attributes:
        member: Name of the controller, unique in the cell.
        zone: Its zone, one of `params.zones`.
        listen: HOST:PORT where it serves users and workers.
        peer_listen: HOST:PORT where it accepts its siblings.
        services: Addresses of the services that it uses.
        params: Parameters of the whole cell.
        siblings: The other controllers of the cell.
    """

    member: ShortName
    zone: ShortName
    listen: str
    peer_listen: str
    services: Services
    params: Params
    siblings: list[Sibling] = []


def split_address(text: str) -> tuple[str, int]:
    """Split an address such as `10.0.0.1:8080` into host and port.

    Raises:
        ValueError: The text is not HOST:PORT, or the port is above 65535.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def _check_value_limit(state: StateLimits) -> None:
    """Check that a value can hold the head of a split record and some of its text."""
    if state.value_kb < MIN_VALUE_KB:
        raise SettingsError(f"params.state.value_kb: must be at least {MIN_VALUE_KB:g}")
    if state.apply_next().value_kb < MIN_VALUE_KB:
        raise SettingsError(f"params.state.next.value_kb: must be at least {MIN_VALUE_KB:g}")


def _check(settings: Settings) -> None:
    """Check the rules that the types of the fields do not express."""
    addresses = {
        "listen": settings.listen,
        "peer_listen": settings.peer_listen,
        "services.cloud": settings.services.cloud,
        "services.state": settings.services.state,
    }
    for index, sibling in enumerate(settings.siblings):
        addresses[f"siblings[{index}].peer_addr"] = sibling.peer_addr
    for field, text in addresses.items():
        try:
            split_address(text)
        except ValueError as error:
            raise SettingsError(f"{field}: {error}") from None
    if settings.zone not in settings.params.zones:
        raise SettingsError(f"zone: {settings.zone!r} is not in params.zones")
    names = [settings.member, *(sibling.member for sibling in settings.siblings)]
    if len(set(names)) != len(names):
        raise SettingsError("siblings: member names are not all different")
    _check_value_limit(settings.params.state)
    workers = settings.params.workers
    if workers.lease_s <= workers.report_s:
        raise SettingsError("params.workers.lease_s: must exceed report_s")
    min_cancel_s = workers.lease_s * CLOCK_DRIFT_FACTOR + CANCEL_MARGIN_S
    if workers.cancel_s < min_cancel_s:
        # With a shorter time, a lease that is renewed between two updates of the state service
        # would outlive the time by which a cancellation made in between has to take effect.
        raise SettingsError(
            f"params.workers.cancel_s: must be {min_cancel_s:g} or more with this lease_s"
        )


def _check_finite(value: object, path: str) -> None:
    """Reject `nan` and `inf`, which TOML allows, in any field below `path`."""
    if isinstance(value, float) and not math.isfinite(value):
        raise SettingsError(f"{path}: not a finite number")
    if isinstance(value, dict):
        for key, item in value.items():
            _check_finite(item, f"{path}.{key}" if path else str(key))
    if isinstance(value, list):
        for index, item in enumerate(value):
            _check_finite(item, f"{path}[{index}]")


def load_toml(path: Path, read: Callable[[dict[str, Any]], T]) -> T:
    """Load a TOML file and convert its content with `read`.

    Raises:
        SettingsError: The file cannot be read or parsed, or its content is invalid.
    """
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        _check_finite(content, "")
        return read(content)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    except msgspec.ValidationError as error:
        fault, _, field = str(error).partition(" - at ")
        field = field.strip("`").removeprefix("$.") or "top level"
        raise SettingsError(f"{path}: {field}: {fault}") from None


def _read_settings(content: dict[str, Any]) -> Settings:
    settings = msgspec.convert(content, Settings)
    _check(settings)
    return settings


def load(path: Path) -> Settings:
    """Load and validate a settings file.

    Raises:
        SettingsError: The file is invalid; the message names the field.
    """
    return load_toml(path, _read_settings)
