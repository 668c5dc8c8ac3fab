"""Configure the test run; hypothesis draws the same examples each time, without deadlines."""

import pytest
from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary
from tests.production import Version, production

__all__ = ["old", "pytest_collection_modifyitems", "pytest_terminal_summary"]

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture(scope="session")
def old(tmp_path_factory: pytest.TempPathFactory) -> Version:
    """Return the version in production."""
    return production(tmp_path_factory.mktemp("production"))
