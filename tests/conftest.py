"""Fixtures that all tests share."""

import random

import eliot
import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


# Without any destination eliot keeps what is written for the first one that is added:
# one test's events would count in the next test that looks at its own.
eliot.add_destinations(lambda message: None)


@pytest.fixture
def rng():
    return random.Random(7)
