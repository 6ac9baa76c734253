"""Evidence against prompt parts: what quarantines one, and what releases it."""

import random

import pytest
from attrs import evolve
from wasabideck_policy.part_quarantine import (
    EVIDENCE_SECONDS,
    LATE_PROBE_SECONDS,
    MAX_PARTS,
    PROBE_SECONDS,
    QUARANTINE_SECONDS,
    PartQuarantine,
)
from wasabideck_policy.suspect_parts import MAX_CRASHES_PER_PART


def crash(rule, name, *prompts, now=0.0):
    """Record a crash during which the requests with these prompts were in progress."""
    for number, parts in enumerate(prompts):
        known = rule.known_rounds(parts)
        rule.record_crash(name, parts, f"{name}-{number}", known, now)


def crash_repeatedly(rule, *prompts, count=3, now=0.0, name="crash"):
    for number in range(count):
        crash(rule, f"{name}-{number}", *prompts, now=now)


def evidence_of(rule):
    return {
        part: (dict(suspect.crashes), suspect.refuted_round)
        for part, suspect in rule.suspects.items()
    }


def test_a_part_is_quarantined_after_successive_crashes_of_different_requests():
    rule = PartQuarantine()
    crash(rule, "a", ["org", "x", "bad"])
    crash(rule, "b", ["org", "y", "bad"])
    assert rule.quarantined(0.0) == frozenset()
    crash(rule, "c", ["org", "z", "bad"])
    assert rule.quarantined(0.0) == {"bad"}
    assert rule.is_quarantined(["other", "bad"], 0.0)
    assert not rule.is_quarantined(["org", "x"], 0.0)


def test_a_request_that_crashes_servers_repeatedly_quarantines_no_part():
    rule = PartQuarantine()
    for number in range(9):
        known = rule.known_rounds(["org", "x"])
        rule.record_crash(f"crash-{number}", ["org", "x"], "request", known, 0.0)
    assert rule.quarantined(0.0) == frozenset()


def test_crashes_at_the_same_moment_count_once():
    rule = PartQuarantine()
    known = rule.known_rounds(["org"])
    for number in range(12):
        rule.record_crash(f"crash-{number}", ["org"], f"r-{number}", known, 0.0)
    assert rule.quarantined(0.0) == frozenset()


def test_many_crashes_suffice_in_two_rounds():
    rule = PartQuarantine()
    known = rule.known_rounds(["org", "bad"])
    for number in range(4):
        rule.record_crash(f"c-{number}", ["org", "bad"], f"r-{number}", known, 0.0)
    assert rule.quarantined(0.0) == frozenset()
    crash(rule, "later", ["org", "bad"])
    assert rule.quarantined(0.0) == {"bad"}


def test_a_completed_answer_refutes_the_evidence_against_its_parts():
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "x"])
    assert rule.quarantined(0.0) == {"x"}
    assert rule.record_sound(["org", "x"])
    assert rule.quarantined(0.0) == frozenset()
    assert not rule.record_sound(["org", "x"])


def test_crashes_that_another_part_explains_are_no_evidence():
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "bad"], ["org", "x"], count=4)
    crash(rule, "last", ["org", "bad"])
    assert rule.quarantined(0.0) == {"bad"}


def test_two_parts_are_quarantined_if_each_has_evidence_of_its_own():
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "bad"], name="a")
    crash_repeatedly(rule, ["org", "worse"], name="b")
    assert rule.quarantined(0.0) == {"bad", "worse"}


def test_the_deepest_of_parts_that_always_occur_together_is_quarantined():
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "a", "b"])
    assert rule.quarantined(0.0) == {"b"}
    # Crashes without it show that the other one is to blame.
    for other in "cde":
        crash(rule, f"with-{other}", ["org", "a", other])
    assert rule.quarantined(0.0) == {"a"}


def test_a_widely_shared_part_is_not_blamed_for_the_crashes_of_two_others():
    # The first part of an organisation was in progress in all crashes by two bad parts,
    # and all its requests were refused.
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "bad"], count=5, name="a")
    for other in "uvxy":
        crash(rule, f"b-{other}", ["other", "worse"], ["org", other])
    assert rule.quarantined(0.0) == {"bad", "worse"}


def test_an_outage_does_not_release_a_part_that_was_never_refuted():
    # All servers crashed twice, and the crashes of the quarantined part seemed to be
    # explained by one that is in progress everywhere.
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "bad"], ["org", "x"], count=4)
    rule.record_sound(["org", "x"])
    for moment in "ab":
        known = rule.known_rounds(["org"])
        for number in range(12):
            name = f"{moment}-{number}"
            rule.record_crash(name, ["org"], name, known, 1.0)
    assert "bad" in rule.quarantined(1.0)


@pytest.mark.parametrize("seed", range(5))
def test_merging_in_any_order_gives_the_same_evidence(seed):
    rng = random.Random(seed)
    sources = [PartQuarantine() for _ in range(4)]
    for number in range(12):
        source = rng.choice(sources)
        parts = ["org", rng.choice(["x", "y"]), rng.choice(["bad", "z"])]
        crash(source, f"crash-{number % 7}", parts)
        if rng.random() < 0.3:
            source.record_sound(["org", "z"])
    merged = []
    for _ in range(3):
        rule = PartQuarantine()
        found = [item for source in sources for item in source.suspects.items()]
        found *= 2
        rng.shuffle(found)
        for part, suspect in found:
            rule.merge(part, evolve(suspect, crashes=dict(suspect.crashes)), 0.0)
        merged.append(rule)
    assert evidence_of(merged[0]) == evidence_of(merged[1]) == evidence_of(merged[2])
    assert merged[0].quarantined(0.0) == merged[1].quarantined(0.0)


def test_repeated_evidence_is_not_new():
    source, rule = PartQuarantine(), PartQuarantine()
    crash(source, "a", ["org"])
    assert rule.merge("org", source.suspects["org"], 0.0)
    assert not rule.merge("org", source.suspects["org"], 0.0)


def test_a_refutation_reaches_other_processes():
    source, rule = PartQuarantine(), PartQuarantine()
    crash_repeatedly(source, ["org"])
    rule.merge("org", source.suspects["org"], 0.0)
    assert rule.quarantined(0.0) == {"org"}
    source.record_sound(["org"])
    assert rule.merge("org", source.suspects["org"], 0.0)
    assert rule.quarantined(0.0) == frozenset()


def test_evidence_and_quarantine_expire():
    rule = PartQuarantine()
    crash(rule, "a", ["org", "x"])
    crash_repeatedly(rule, ["other", "bad"])
    assert rule.quarantined(EVIDENCE_SECONDS / 2) == {"bad"}
    assert rule.quarantined(EVIDENCE_SECONDS + 1) == {"bad"}
    assert set(rule.suspects) == {"bad"}
    assert rule.quarantined(QUARANTINE_SECONDS - 1) == {"bad"}
    assert rule.quarantined(QUARANTINE_SECONDS) == frozenset()
    assert rule.suspects == {}


def test_processes_that_learn_of_a_quarantine_late_do_not_extend_it():
    # Guards against a quarantine that begins anew at each process that starts, and so
    # never ends where processes restart now and then.
    source = PartQuarantine()
    crash_repeatedly(source, ["bad"])
    assert source.quarantined(0.0) == {"bad"}
    late = PartQuarantine()
    late.merge("bad", source.suspects["bad"], QUARANTINE_SECONDS - 10)
    assert late.quarantined(QUARANTINE_SECONDS - 10) == {"bad"}
    source.merge("bad", late.suspects["bad"], QUARANTINE_SECONDS - 5)
    for rule in (source, late):
        assert rule.quarantined(QUARANTINE_SECONDS - 1) == {"bad"}
        assert rule.quarantined(QUARANTINE_SECONDS) == frozenset()


def test_a_process_with_a_fast_clock_does_not_extend_a_quarantine():
    source, rule = PartQuarantine(), PartQuarantine()
    crash_repeatedly(source, ["bad"], now=1e6)
    rule.merge("bad", source.suspects["bad"], 0.0)
    assert rule.suspects["bad"].until <= QUARANTINE_SECONDS


def test_evidence_is_bounded_and_the_strongest_is_kept():
    # Thousands of harmless parts must not displace the evidence against a bad one.
    rule = PartQuarantine()
    crash(rule, "a", ["org", "bad"])
    crash(rule, "b", ["org", "bad"])
    for number in range(3000):
        crash(rule, f"crash-{number}", [f"rare-{number}"], now=1.0)
    crash_repeatedly(rule, ["org", "bad"], count=40, now=1.0)
    assert len(rule.suspects) <= MAX_PARTS
    assert rule.quarantined(1.0) == {"bad"}
    crashes = rule.suspects["bad"].crashes
    assert len(crashes) <= MAX_CRASHES_PER_PART


def test_evidence_that_is_dropped_at_once_is_not_new():
    # A process with a full table relayed what it did not keep, with every message.
    source, rule = PartQuarantine(), PartQuarantine()
    for number in range(MAX_PARTS):
        crash_repeatedly(rule, [f"part-{number}"], count=2, name=f"crash-{number}")
    crash(source, "other", ["weak"])
    assert not rule.merge("weak", source.suspects["weak"], 0.0)
    assert "weak" not in rule.suspects


def test_a_part_that_was_refuted_is_known_as_such_after_many_crashes():
    rule = PartQuarantine()
    crash(rule, "first", ["org"])
    rule.record_sound(["org"])
    crash_repeatedly(rule, ["org"], count=40)
    assert rule.suspects["org"].was_refuted


def test_one_request_at_a_time_probes_a_quarantined_part():
    # After an outage of all servers, nothing could refute the evidence against a sound
    # part, and it was refused for good.
    rule = PartQuarantine()
    crash(rule, "first", ["org"])
    rule.record_sound(["org"])
    crash_repeatedly(rule, ["org"], now=1.0)
    assert rule.is_quarantined(["org", "x"], 1.0)
    assert not rule.claim_probe(["org", "x"], 1.0)
    later = 1.0 + PROBE_SECONDS
    assert rule.claim_probe(["org", "x"], later)
    assert not rule.claim_probe(["org", "x"], later)
    rule.record_sound(["org", "x"])
    assert not rule.is_quarantined(["org", "x"], later)


def test_a_failed_probe_delays_the_next_one():
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "bad"])
    assert not rule.claim_probe(["org", "bad"], LATE_PROBE_SECONDS - 1)
    assert rule.claim_probe(["org", "bad"], LATE_PROBE_SECONDS)
    crash(rule, "probe", ["org", "bad"], now=LATE_PROBE_SECONDS)
    assert not rule.claim_probe(["org", "bad"], 5 * LATE_PROBE_SECONDS)


def test_the_process_that_recorded_the_newest_crash_probes_first():
    first, second, third = (PartQuarantine() for _ in range(3))
    for rule, name in ((first, "a"), (second, "b"), (second, "c")):
        crash(rule, name, ["org", "bad"])
        for other in (first, second, third):
            suspect = rule.suspects["bad"]
            copy = evolve(suspect, crashes=dict(suspect.crashes))
            other.merge("bad", copy, 0.0)
    assert all(rule.quarantined(0.0) == {"bad"} for rule in (first, second, third))
    now = LATE_PROBE_SECONDS
    assert not first.claim_probe(["bad"], now)
    assert second.claim_probe(["bad"], now)
    assert first.claim_probe(["bad"], now * 5)
    assert not third.claim_probe(["bad"], now * 10)


def test_a_prompt_with_two_quarantined_parts_is_no_probe():
    rule = PartQuarantine()
    crash_repeatedly(rule, ["org", "bad"], name="a")
    crash_repeatedly(rule, ["org", "worse"], name="b")
    assert not rule.claim_probe(["org", "bad", "worse"], LATE_PROBE_SECONDS)
