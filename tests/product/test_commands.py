"""Command lines of entry and agent: help, and errors of one line without effect."""

import asyncio
import inspect

import pytest
from wasabideck_agent import __main__ as agent_main
from wasabideck_base.command_line import run_commands
from wasabideck_base.settings import AccessSettings
from wasabideck_entry import __main__ as entry_main
from wasabideck_entry.operator_client import AcceptanceUnknown, OperatorClient
from wasabideck_entry.report_filter import FilterError, ReportFilter, parse_time

TOKEN = "sample-operator-token"


@pytest.fixture
def access(tmp_path):
    path = tmp_path / "access.toml"
    lines = ['entry = "http://127.0.0.1:9"', f'token = "{TOKEN}"', "plain_text = true"]
    path.write_text("\n".join(lines))
    return str(path)


def run_to_exit(capsys, *args, group=entry_main._Commands):
    with pytest.raises(SystemExit) as caught:
        run_commands(group(), "wasabideck", args)
    out, err = capsys.readouterr()
    return caught.value.code, out, err


@pytest.mark.parametrize(
    ("args", "message"),
    [
        ([], "a command is missing"),
        (["ticket"], "a command is missing"),
        (["nonsense"], "nonsense"),
        (["ticket", "submit"], "file"),
        (["ticket", "show", "one"], "'one'"),
        (["report", "--tickets", "1"], "--tickets"),
        (["report", "--json=maybe"], "'maybe'"),
        (["report", "--since", "yesterday"], "'yesterday'"),
    ],
)
def test_an_invalid_command_line_exits_2_with_one_line_of_error(
    capsys, monkeypatch, args, message
):
    monkeypatch.delenv("WASABIDECK_ACCESS", raising=False)
    code, out, err = run_to_exit(capsys, *args)
    assert (code, out, err.count("\n")) == (2, "", 1)
    assert err.startswith("wasabideck: ") and message in err


def test_a_misspelt_flag_submits_nothing(capsys, monkeypatch, access):
    # The command library called the command before it parsed the rest of the line. So
    # a ticket with a misspelt flag after its file was accepted, although the operator
    # got an error.
    submitted = []
    monkeypatch.setattr(OperatorClient, "submit", lambda _, file: submitted.append(1))
    code, _, err = run_to_exit(
        capsys, "ticket", "submit", "t.toml", "--access", access, "--jsno"
    )
    assert code == 2 and "--jsno" in err
    assert not submitted


def _command_methods(group, path=()):
    for name, member in inspect.getmembers(group):
        if name.startswith("_"):
            continue
        if inspect.ismethod(member):
            yield (*path, name), member
        else:
            yield from _command_methods(member, (*path, name))


@pytest.mark.parametrize("group", [entry_main._Commands, agent_main._Commands])
def test_each_command_and_flag_has_help(capsys, group):
    for path, method in _command_methods(group()):
        code, out, _ = run_to_exit(capsys, *path, "--help", group=group)
        assert code == 0
        assert method.__doc__.splitlines()[0] in out
        assert "FIRE" not in out
        for name in list(inspect.signature(method).parameters):
            described = method.__doc__.split(f"\n        {name} : ")[1]
            assert described.splitlines()[1].strip()[:30] in out
            assert "token" not in name, "every user can see an argument"


def test_a_lost_response_to_a_submission_is_unknown_and_exits_3(tmp_path):
    # The connection is lost after the entry has written the ticket and before it
    # responds. If the command reported "refused", the operator would submit the change
    # again under another number.
    async def hang_up(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def body():
        server = await asyncio.start_server(hang_up, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = OperatorClient(AccessSettings(f"http://{host}:{port}", TOKEN))
        file = tmp_path / "t.toml"
        file.write_text("number = 1\n")
        async with server:
            with pytest.raises(AcceptanceUnknown) as caught:
                await asyncio.to_thread(client.submit, str(file))
        return caught.value

    exc = asyncio.run(body())
    assert exc.exit_code == 3
    assert "submit the same file again" in str(exc)


ROWS = [
    {"ticket": 1, "vm": "a", "manifest": "f00", "begun": 10.0, "in_force": 20.0},
    {"ticket": 1, "vm": "b", "manifest": "f00", "begun": 30.0, "in_force": 0.0},
    {"ticket": 2, "vm": "a", "manifest": "baa", "begun": 40.0, "in_force": 50.0},
]


@pytest.mark.parametrize(
    ("query", "expected_rows"),
    [
        ({}, [0, 1, 2]),
        ({"ticket": "1"}, [0, 1]),
        ({"vm": "a"}, [0, 2]),
        ({"manifest": "ba"}, [2]),
        ({"since": "25"}, [1, 2]),
        ({"until": "30"}, [0, 1]),
        ({"since": "15", "until": "25", "vm": "a"}, [0]),
    ],
)
def test_a_report_is_filtered(query, expected_rows):
    report_filter = ReportFilter.from_query(query)
    assert report_filter.matching_rows(ROWS) == [ROWS[i] for i in expected_rows]
    assert ReportFilter.from_query(report_filter.to_query()) == report_filter


@pytest.mark.parametrize(
    ("name", "value"),
    [("ticket", "-1"), ("ticket", "9" * 30), ("since", "nan"), ("vms", "a")],
)
def test_an_invalid_filter_is_refused_with_its_field(name, value):
    with pytest.raises(FilterError) as caught:
        ReportFilter.from_query({name: value})
    assert caught.value.field == name


def test_a_time_without_offset_is_utc():
    assert parse_time("since", "1970-01-01T00:01:00") == 60
    assert parse_time("since", "1970-01-01T02:01:00+02:00") == 60
