"""Compares the demo's session, in separate processes, with a golden file."""

import asyncio
from collections import Counter

from attrs import evolve
from wasabideck_entry.timeline import merge_events
from wasabideck_lab.demo import find_deviations, run_session

# Event kinds whose counts are the same in every run. The number of chunks from each
# source and the number of attempts depend on which of the two agents is faster.
DETERMINISTIC_KINDS = (
    "ticket.accepted",
    "version.in-force",
    "claim.taken",
    "request.final",
)


def test_first_rollout_draft_and_order(tmp_path, data_regression):
    session = asyncio.run(run_session(tmp_path))
    assert find_deviations(session) == []
    for change in (
        {"order_runs": {"order-77": 2}},
        {"exit_codes": {"entry-1": 1}},
        {"draft": session.draft[:-1]},
        {"metrics": dict.fromkeys(session.metrics, "")},
    ):
        assert len(find_deviations(evolve(session, **change))) == 1
    events = merge_events(str(path) for path in session.events).events
    counts = Counter((e["vm"], e["message_type"]) for e in events)
    result = {
        "ticket": {k: session.ticket[k] for k in ("number", "operator", "sequence")},
        "report": [_stable_fields(row) for row in session.report],
        "bytes_from_origin_at_least_once": _origin_bytes(session) >= 64 * 16 * 1024,
        "draft": session.draft,
        "order": session.order,
        "events": sorted(
            [*key, n] for key, n in counts.items() if key[1] in DETERMINISTIC_KINDS
        ),
        "exit_codes": session.exit_codes,
    }
    data_regression.check(result)


def _stable_fields(row):
    names = ("vm", "service", "slot", "ticket", "model", "version", "manifest")
    return {k: row[k] for k in names} | {
        "bytes": sum(row["sources"].values()),
        "in_order": 0 < row["begun"] <= row["verified"] <= row["in_force"],
    }


def _origin_bytes(session):
    return sum(row["sources"].get("origin", 0) for row in session.report)
