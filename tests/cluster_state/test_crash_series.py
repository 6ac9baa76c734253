"""Prompt parts that crash servers: simulated fleets whose entries share evidence.

Bad requests stop soon after the fifth crash, and sound requests with the same first
part are served on.
"""

import pytest
from attrs import evolve
from wasabideck_lab.crash_model import simulate_crashes
from wasabideck_lab.crash_series import SERIES, rule_in_force

SEEDS = (0, 1)
MAX_LATE_BAD_REQUESTS = 3
MIN_BEGUN = 0.5
BAD_SERIES = [name for name, series in SERIES.items() if series.bad]
# Series in which servers crash one at a time or all of them once.
HARMLESS_SERIES = ("lone-crashes", "partial-outage", "outage")


def simulate(name, seed, **changes):
    return simulate_crashes(evolve(SERIES[name], **changes), seed)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", BAD_SERIES)
def test_bad_requests_stop_and_sound_ones_are_served(name, seed):
    result = simulate(name, seed)
    assert result.missed <= MAX_LATE_BAD_REQUESTS
    assert result.begun >= MIN_BEGUN


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", HARMLESS_SERIES)
def test_no_part_is_quarantined_after_crashes_of_another_cause(name, seed):
    result = simulate(name, seed)
    assert result.wrong_parts == 0
    assert result.refused == 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", ["bad", "large", "bad-waves"])
def test_few_sound_requests_are_refused_beside_a_bad_part(name, seed):
    result = simulate(name, seed)
    assert result.refused < 0.01
    assert result.wrong_at_end == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_no_sound_part_stays_quarantined_after_outages(seed):
    # All servers crashed four times beside a bad part, and nothing of a quarantined
    # part was sent that could have refuted the evidence.
    assert simulate("bad-in-outage", seed).wrong_at_end == 0


def test_a_plain_count_refuses_sound_requests():
    with rule_in_force("all-rounds-3"):
        assert simulate("lone-crashes", 0).refused > 0.1


def test_the_same_seed_gives_the_same_result():
    assert simulate("two-bad", 3) == simulate("two-bad", 3)
