"""Which entries hear an agent's words, at sizes far above the usual one."""

from collections import Counter

import pytest
from wasabideck_policy.audience import (
    FAR_MOST,
    NEAR_MOST,
    URGENT_MOST,
    Audience,
    audience_of,
)
from wasabideck_policy.membership import AGENT, ENTRY, Member

REGIONS = 5


def members(entries):
    regions = [f"r{n % REGIONS}" for n in range(entries)]
    rows = [Member(f"e-{n}", ENTRY, f"e-{n}:1", r) for n, r in enumerate(regions)]
    return [*rows, Member("agent", AGENT, "a:1", "r0")]


def audience(entries, vm="agent"):
    found = Audience()
    found.take(*audience_of(vm, "r0", members(entries)))
    return found


def test_a_small_deployment_hears_every_word():
    found = audience(30)
    assert len(found.for_word(with_far=False)) == 6
    assert len(found.for_word(with_far=True)) == 30


@pytest.mark.parametrize("entries", [36, 300, 410, 3000])
def test_what_an_agent_sends_is_bounded_whatever_the_number_of_entries(entries):
    found = audience(entries)
    assert len(found.for_word(with_far=False)) <= NEAR_MOST
    assert len(found.for_word(with_far=True)) <= NEAR_MOST + FAR_MOST
    assert len(found.for_change()) <= URGENT_MOST + FAR_MOST


def test_entries_near_by_take_turns():
    # Guards against the same entries being left out for ever, which then send to
    # servers that they hear nothing of.
    found = audience(410)
    words = Counter(a for _ in range(41) for a in found.for_word(with_far=False))
    assert set(words) == set(found.near)
    assert max(words.values()) - min(words.values()) <= 1


def test_every_entry_hears_of_servers_far_off():
    # Guards against all agents keeping the same entries, so that the others never hear
    # of a server of another region.
    heard = Counter(a for n in range(140) for a in audience(410, f"agent-{n}").far)
    far = {f"e-{n}:1" for n in range(410) if n % REGIONS}
    assert set(heard) == far
    assert max(heard.values()) < 5 * 140 * FAR_MOST / len(far)
