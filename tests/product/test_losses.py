"""What became of requests, read from the entries' lines."""

import orjson
from wasabideck_lab.losses import losses, read_ended, tabulate
from wasabideck_policy.placement import Urgency


def line(at, outcome="answered", before="", **kw):
    event = {
        "message_type": "request.ended",
        "timestamp": at,
        "seconds": 0.5,
        "outcome": outcome,
        "first": None,
        "urgency": None,
        **kw,
    }
    return before + orjson.dumps(event).decode()


LINES = [
    line(100.5, first=0.2, urgency=Urgency.FRESH),
    line(100.6, first=0.9, urgency=Urgency.FRESH, before="  0.1 edge-1 "),
    line(100.7, first=0.9, urgency=Urgency.LATE),
    line(101.8, "refused", reason="AllFull"),
    line(101.9),
    '{"message_type": "server.gone"}',
    "not an event",
    '{"message_type": "request.ended", half a line',
]


def test_each_window_tells_what_became_of_those_who_came_in_it():
    rows = tabulate(read_ended(LINES), goal=0.4, window=1.0)
    assert [(at, dict(counts)) for at, counts in rows] == [
        (0.0, {"ahead in time": 1, "ahead late": 1, "behind late": 1}),
        (1.0, {"AllFull": 1, "plain": 1}),
    ]


def test_the_command_reads_files(tmp_path, capsys):
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    losses(str(log), goal=1.0)
    first = capsys.readouterr().out.splitlines()[0]
    assert first.split() == "0.0 s ahead in time 2, behind in time 1".split()
