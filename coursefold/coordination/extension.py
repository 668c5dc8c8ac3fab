"""The interface between the core and its optional subsystems, such as cells and shares."""

from typing import Any, Protocol


class Extension(Protocol):
    """A subsystem that takes its decisions in the core's rounds.

    Like the core, it does no I/O and leaves effects.
    """

    def tick(self) -> None:
        """Run one round of decisions; called in each round after the core's own parts."""

    def handle_operator_command(self, path: str, body: bytes, ticket: int) -> bool:
        """Handle an operator's command; return False if the path is not of this subsystem."""

    def health_status(self) -> dict[str, Any]:
        """Return this subsystem's fields of the `/healthz` response."""
