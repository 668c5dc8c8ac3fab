"""When keys of the state service were removed, as far as a controller knows."""

MAX_REMOVALS = 20_000  # keys; twice the changes that the state service keeps


class RemovalVersions:
    """The revisions at which keys were removed, the newest ones.

    A write of a key that is older than its removal may arrive after it.

    Attributes:
        versions: By key, the revision of its removal, or a later one at which it was absent.
    """

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}

    def version_of(self, key: str) -> int:
        """Return the revision of a key's last known removal; 0 if there is none."""
        return self.versions.get(key, 0)

    def remember(self, key: str, version: int) -> None:
        """Remember a removal; when there are too many, the older half is forgotten."""
        self.versions[key] = max(version, self.version_of(key))
        if len(self.versions) <= MAX_REMOVALS:
            return
        oldest_first = sorted(self.versions, key=self.versions.__getitem__)
        for oldest in oldest_first[: MAX_REMOVALS // 2]:
            del self.versions[oldest]
