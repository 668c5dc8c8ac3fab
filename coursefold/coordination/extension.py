"""What a controller's core lets a subsystem beside it do."""

from typing import Any, Protocol


class Extension(Protocol):
    """A subsystem that decides in the core's rounds. No I/O: like the core, it leaves effects."""

    def tick(self) -> None:
        """Decide; called in each round, after the core's own parts."""

    def handle_operator_command(self, path: str, body: bytes, ticket: int) -> bool:
        """An operator's command; False if it is none of this subsystem's."""

    def health_status(self) -> dict[str, Any]:
        """What the controller's condition says of it, by name."""
