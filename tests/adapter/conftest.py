"""An agent beside its engine, for all tests of it."""

import pytest
from agent_fakes import FakeEngine, FakeOrigin, FakeStore, new_agent


@pytest.fixture
def engine():
    return FakeEngine()


@pytest.fixture
def origin():
    return FakeOrigin()


@pytest.fixture
def rows():
    return FakeStore()


@pytest.fixture
def make_agent(engine, origin, rows):
    """Start an agent beside the engine, as if it had just been started."""
    return lambda: new_agent(engine, origin, rows)


@pytest.fixture
def agent(make_agent):
    return make_agent()
