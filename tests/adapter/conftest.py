"""Fixtures with an agent beside an engine, an origin of weights and a row store."""

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
    """Return a function that creates a newly started agent beside the engine."""
    return lambda: new_agent(engine, origin, rows)


@pytest.fixture
def agent(make_agent):
    return make_agent()
