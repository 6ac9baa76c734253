"""Which entries receive an agent's reports, also in very large deployments."""

from collections import Counter

import pytest
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.report_targets import (
    MAX_LOCAL_ENTRIES,
    MAX_REMOTE_ENTRIES,
    MAX_URGENT_ENTRIES,
    ReportTargets,
    report_targets,
)

REGIONS = 5


def members(entries):
    regions = [f"r{n % REGIONS}" for n in range(entries)]
    rows = [Member(f"e-{n}", ENTRY, f"e-{n}:1", r) for n, r in enumerate(regions)]
    return [*rows, Member("agent", AGENT, "a:1", "r0")]


def targets_of(entries, vm="agent"):
    targets = ReportTargets()
    targets.set_entries(*report_targets(vm, "r0", members(entries)))
    return targets


def test_in_a_small_deployment_all_entries_receive_every_report():
    targets = targets_of(30)
    assert len(targets.for_report(with_remote=False)) == 6
    assert len(targets.for_report(with_remote=True)) == 30


@pytest.mark.parametrize("entries", [36, 300, 410, 3000])
def test_the_number_of_reports_is_bounded_for_any_number_of_entries(entries):
    targets = targets_of(entries)
    assert len(targets.for_report(with_remote=False)) <= MAX_LOCAL_ENTRIES
    assert (
        len(targets.for_report(with_remote=True))
        <= MAX_LOCAL_ENTRIES + MAX_REMOTE_ENTRIES
    )
    assert len(targets.for_urgent_report()) <= MAX_URGENT_ENTRIES + MAX_REMOTE_ENTRIES


def test_entries_of_the_own_region_are_reported_to_round_robin():
    # Guards against leaving out the same entries permanently, which would then send
    # requests to servers of which they receive no reports.
    targets = targets_of(410)
    reports = Counter(
        a for _ in range(41) for a in targets.for_report(with_remote=False)
    )
    assert set(reports) == set(targets.local)
    assert max(reports.values()) - min(reports.values()) <= 1


def test_every_entry_receives_reports_of_remote_servers():
    # Guards against all agents choosing the same remote entries, so that the others
    # never receive a report of a server of another region.
    reports = Counter(
        a for n in range(140) for a in targets_of(410, f"agent-{n}").remote
    )
    remote = {f"e-{n}:1" for n in range(410) if n % REGIONS}
    assert set(reports) == remote
    assert max(reports.values()) < 5 * 140 * MAX_REMOTE_ENTRIES / len(remote)
