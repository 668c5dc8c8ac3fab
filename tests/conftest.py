"""The same verdict every time: no random examples, no deadlines by the clock."""

import pytest
from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary
from tests.production import Version, production

__all__ = ["old", "pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture(scope="session")
def old(tmp_path_factory: pytest.TempPathFactory) -> Version:
    """The version in production."""
    return production(tmp_path_factory.mktemp("production"))
