"""The ``losses`` command counts how requests ended, from the event logs of entries."""

import orjson
from wasabideck_lab.request_outcomes import count_by_window, losses, read_ended_requests
from wasabideck_policy.placement import Urgency


def line(at, outcome="answered", prefix="", **kw):
    event = {
        "message_type": "request.ended",
        "timestamp": at,
        "seconds": 0.5,
        "outcome": outcome,
        "first": None,
        "urgency": None,
        **kw,
    }
    return prefix + orjson.dumps(event).decode()


LINES = [
    line(100.5, first=0.2, urgency=Urgency.IN_TIME),
    line(100.6, first=0.9, urgency=Urgency.IN_TIME, prefix="  0.1 edge-1 "),
    line(100.7, first=0.9, urgency=Urgency.LATE),
    line(101.8, "refused", reason="AllFull"),
    line(101.9),
    '{"message_type": "server.gone"}',
    "not an event",
    '{"message_type": "request.ended", half a line',
]


def test_requests_are_counted_in_the_window_of_their_arrival():
    rows = count_by_window(read_ended_requests(LINES), goal=0.4, window=1.0)
    assert [(at, dict(counts)) for at, counts in rows] == [
        (0.0, {"ahead in time": 1, "ahead late": 1, "behind late": 1}),
        (1.0, {"AllFull": 1, "plain": 1}),
    ]


def test_the_command_reads_files(tmp_path, capsys):
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    losses(str(log), goal=1.0)
    first_line = capsys.readouterr().out.splitlines()[0]
    assert first_line.split() == "0.0 s ahead in time 2, behind in time 1".split()
