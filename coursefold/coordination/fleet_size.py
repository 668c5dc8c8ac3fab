"""How many machines the fleet may hold, whatever size the demand is computed to have."""

from coursefold.settings import Settings

# Bounds of the limit itself, whatever the settings say of connections:
MIN_LIMIT_MACHINES = 4_000
MAX_LIMIT_MACHINES = 100_000


def max_fleet_machines(settings: Settings) -> int:
    """Return the most machines that the fleet may hold: each has a connection to a controller."""
    controller_count = len(settings.siblings) + 1
    connections = controller_count * settings.params.resources.fd_limit
    return min(MAX_LIMIT_MACHINES, max(MIN_LIMIT_MACHINES, connections))
