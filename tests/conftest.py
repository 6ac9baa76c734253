"""Fixtures that all tests share."""

import random

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


@pytest.fixture
def rng():
    return random.Random(7)
