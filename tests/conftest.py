"""The same verdict every time: no random examples, no deadlines by the clock."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
