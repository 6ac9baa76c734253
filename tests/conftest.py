"""Fixtures shared by all tests."""

import gc
import random
from pathlib import Path

import eliot
import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


# Without a destination, eliot buffers messages for the first destination that is added:
# events of one test would be counted in a later test that checks its own events.
eliot.add_destinations(lambda message: None)


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected to fail.

    Each is reported with the reason on its line. A listed test that passes fails the
    run: its line must be removed together with the fault. One whose reason begins with
    "unsteady" may pass.
    """
    lines = (line.split(" | ") for line in KNOWN_RED.read_text().splitlines())
    listed = {line[0]: line[1] for line in lines if line[0].startswith("tests/")}
    for item in items:
        if reason := listed.pop(item.nodeid, None):
            steady = not reason.startswith("unsteady")
            item.add_marker(
                pytest.mark.xfail(reason=f"known red: {reason}", strict=steady)
            )


@pytest.fixture(scope="module", autouse=True)
def _finalize_objects_of_earlier_tests():
    """Run the finalizers of earlier tests' objects before a module's tests.

    One that fails is reported with a traceback, for which Python 3.11 parses source. If
    it runs amid another parse, that parse fails with a ``SystemError``.
    """
    gc.collect()


@pytest.fixture(autouse=True)
def _leave_sanic_unchanged(monkeypatch):
    """Have sanic keep its code as it is.

    It removes what the first application of a process does not use, such as the
    signals with which an entry checks requests: a second application would go without.
    """
    monkeypatch.setenv("SANIC_TOUCHUP", "false")


@pytest.fixture
def rng():
    return random.Random(7)
