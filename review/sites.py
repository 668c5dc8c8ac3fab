"""Settings like those of the users' site files, and jobs of their classes."""

from typing import Any

# `backtrack-labels-galway`: limits of the state service and the cloud, workers, machine types.
GALWAY: dict[str, Any] = {
    "zones": ["galway-room", "dublin-colo"],
    "skew_ms": 25.0,
    "teams": [{"name": "label-desk"}, {"name": "carrier-ops"}],
    "workers": {
        "report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 40.0,
    },
    "state": {"rps": 120.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 8.0},
    "resources": {"cores": 0.54, "memory_mb": 146.0, "fd_limit": 900},
    "catalog": [
        {
            "Name": "tern-16", "Vcpus": 16.0, "Accelerators": 2.0, "MemoryGb": 64.0,
            "CacheGb": 100.0, "FetchGbPerS": 3.0, "Hourly": 5.07, "LowPrice": 2.1, "BootS": 60.0,
            "Sites": ["galway-room", "dublin-colo"],
        }
    ],
}  # fmt: skip


def carrier_match(name: str, **fields: Any) -> dict[str, Any]:
    """Return a job of the class `carrier-match`: a gang of one task."""
    return {
        "NameId": name, "Lane": "carrier-match", "Owner": "carrier-ops", "Shape": "ensemble",
        "Rank": "urgent", "Pieces": 1, "Vcpus": 7.0, "Accelerators": 1.0, "MemoryGb": 26.0,
        "Bundle": "img-match", "ImageGb": 1.0, "Builds": None, "Site": None, "Together": True,
        "Apart": False, "Loaners": True, "ExpectedS": 90.0, "SnapshotEveryS": 30.0,
        "SnapshotS": 2.0, "DueS": None,
    } | fields  # fmt: skip


def barcode_verify(name: str, **fields: Any) -> dict[str, Any]:
    """Return a job of the class `barcode-verify`: an array."""
    return {
        "NameId": name, "Lane": "barcode-verify", "Owner": "label-desk", "Shape": "array",
        "Rank": "normal", "Pieces": 1, "Vcpus": 10.0, "Accelerators": 1.0, "MemoryGb": 54.0,
        "Bundle": "img-verify", "ImageGb": 1.0, "Builds": None, "Site": None, "Together": False,
        "Apart": False, "Loaners": True, "ExpectedS": 35.0, "SnapshotEveryS": 20.0,
        "SnapshotS": 2.0, "DueS": None,
    } | fields  # fmt: skip


def label_serve(name: str, **fields: Any) -> dict[str, Any]:
    """Return a job of the class `label-serve`: a service."""
    return {
        "NameId": name, "Lane": "label-serve", "Owner": "label-desk", "Shape": "standing",
        "Rank": "prod", "Pieces": 1, "Vcpus": 5.0, "Accelerators": 1.0, "MemoryGb": 19.0,
        "Bundle": "img-serve", "ImageGb": 1.0, "Builds": None, "Site": None, "Together": False,
        "Apart": False, "Loaners": False, "ExpectedS": 0.0, "SnapshotEveryS": 0.0,
        "SnapshotS": 0.0, "DueS": None,
    } | fields  # fmt: skip
