"""The merged timeline, the documented kinds of events, and metrics fed by events."""

import ast
from pathlib import Path

import orjson
import pytest
from wasabideck_base.event_kinds import EVENT_KINDS
from wasabideck_base.metrics import Metrics, render_metrics
from wasabideck_entry.picture import draw_timeline
from wasabideck_entry.timeline import EventsUnreadable, merge_events, print_timeline

ROOT = Path(__file__).parents[2]


def line(vm, hlc, kind, **fields):
    return orjson.dumps({"vm": vm, "hlc": hlc, "message_type": kind, **fields}) + b"\n"


@pytest.fixture
def files(tmp_path):
    entry, agent = tmp_path / "entry.events", tmp_path / "agent.events"
    entry.write_bytes(
        line("entry", "1000000.0", "attempt.sent", attempt="a", request="r")
        + line("entry", "5000000.2", "request.final", request="r", outcome="<Answered>")
    )
    agent.write_bytes(
        line("agent", "5000000.1", "attempt.final", attempt="a", request="r")
        + line("agent", "1000000.1", "server.died", attempt="a")
    )
    return [str(entry), str(agent)]


def test_events_are_merged_by_timestamp_in_any_order_of_files(files):
    kinds = [event["message_type"] for event in merge_events(files).events]
    assert kinds == ["attempt.sent", "server.died", "attempt.final", "request.final"]
    assert merge_events(files[::-1]).events == merge_events(files).events


@pytest.mark.parametrize(
    "tail",
    [
        b'{"vm": "agent", "hlc": "9.0", "mess',
        b"\xff\x00\n",
        b"7\n",
        b"{}\n",
        line("agent", "soon", "x"),
        line(7, "1.0", "x"),
    ],
)
def test_an_incomplete_line_of_a_killed_process_is_skipped(files, tail, capsys):
    # A VM fails while it writes an event, so its file ends with an incomplete line.
    # The timeline of the whole incident could then not be shown.
    with open(files[1], "ab") as file:
        file.write(tail)
    merged = merge_events(files)
    assert len(merged.events) == 4
    assert merged.unreadable_lines == {files[1]: 1}
    print_timeline(files, json=True)
    out, err = capsys.readouterr()
    assert len(out.splitlines()) == 4
    assert files[1] in err


def test_an_error_has_the_name_of_a_missing_file(tmp_path):
    with pytest.raises(EventsUnreadable) as caught:
        merge_events([str(tmp_path / "absent")])
    assert "absent" in str(caught.value)


def test_the_page_loads_no_external_resources(files):
    page = draw_timeline(merge_events(files).events)
    assert page.count("<circle") == 4
    assert page.count('class="alarm"') == 1
    assert page.count('<line class="cause"') >= 2
    assert "<Answered>" not in page and "&lt;Answered&gt;" in page
    for external_reference in ("src=", "href=", "@import", "url("):
        assert external_reference not in page
    assert "<svg" in draw_timeline([])


def emitted_kinds():
    for file in (ROOT / "packages").glob("*/*/*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                if node.func.attr == "emit":
                    yield node.args[0].value


def test_processes_speak_one_vocabulary():
    assert set(emitted_kinds()) <= EVENT_KINDS.keys()


def test_operations_explains_every_kind_of_event():
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for name, kind in EVENT_KINDS.items():
        row = f"| `{name}` | {kind.meaning} | {kind.operator_action or '-'} |"
        assert row in text


def test_every_metric_is_fed_by_events():
    # Guards against counters that are declared but never incremented: a dashboard
    # showed no retries during an outage.
    metrics = Metrics()
    metrics.count("ticket.seen", {"ticket": 7})
    metrics.count("ticket.seen", {"ticket": 5})
    metrics.count("attempt.sent", {"request": "r", "attempt": "a"})
    metrics.count("attempt.sent", {"request": "r", "attempt": "b"})
    metrics.count("request.final", {"request": "r", "outcome": "Answered"})
    metrics.count("attempt.sent", {"request": "r", "attempt": "c"})
    sources = {"origin": 10, "vm-1": 20, "vm-2": 30}
    metrics.count("transfer.verified", {"ticket": 7, "sources": sources})
    metrics.count("claim.taken", {"attempt": "a", "action": "run"})
    metrics.count("table.unavailable", {"why": "x"})
    body, headers = render_metrics(metrics, "text/plain")
    text = body.decode()
    assert headers["Content-Type"].startswith("text/plain")
    for sample in (
        "wasabideck_ticket_seen 7",
        "wasabideck_retries_total 1",
        'wasabideck_transferred_bytes_total{source="origin"} 10',
        'wasabideck_transferred_bytes_total{source="peer"} 50',
        'wasabideck_claims_total{verdict="run"} 1',
        "wasabideck_table_failures_total 1",
        'wasabideck_events_total{kind="attempt.sent"} 3',
    ):
        assert sample in text


def test_requests_of_disconnected_callers_are_forgotten():
    metrics = Metrics()
    for number in range(10_050):
        metrics.count("attempt.sent", {"request": str(number)})
    assert len(metrics._attempted_requests) == 10_000


def error_names():
    """Yield the names of all typed errors and the reasons of all failures."""
    for file in (ROOT / "packages").glob("wasabideck_[!l]*/*/*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ClassDef) and not node.name.startswith("_"):
                if any(getattr(b, "id", "").endswith("Error") for b in node.bases):
                    yield node.name
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "Failure":
                if isinstance(node.args[0], ast.Constant):
                    yield node.args[0].value


def test_operations_explains_every_error():
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    assert [name for name in error_names() if f"`{name}`" not in text] == []
