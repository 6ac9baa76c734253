"""Rows that another writer left: none is used, and none keeps the others from use."""

import asyncio
import random

import orjson
import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_adapter.engine import _parse_state
from wasabideck_adapter.rows import parse_configuration, parse_declaration
from wasabideck_adapter.store import _parse_changes
from wasabideck_agent.delivery_log import parse_delivery
from wasabideck_agent.listed_peers import ListedPeers
from wasabideck_base.channels import Channels
from wasabideck_base.declaration_times import declaration_times_of
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.gossip_messages import age_entries, row_entry
from wasabideck_base.http_responses import PlatformUnavailable, parse_response
from wasabideck_base.member_rows import MEMBERS_TABLE, member_row, parse_member
from wasabideck_base.members import _parse_members
from wasabideck_base.part_quarantine_store import parse_part
from wasabideck_base.rows import Row, RowChanges
from wasabideck_base.state_sync import StateSync
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.membership import ENTRY, Member
from wasabideck_policy.outcomes import WasabideckError

SERVER = {"service": "s", "addr": "10.0.0.9:8080", "state": "ready", "slots": 4}
ME = Member("vm", ENTRY, "127.0.0.1:7700", "r", "dc")
# Deeper than Python's limit of recursion, and within that of the JSON parser.
NESTED = b"[" * 1000 + b"]" * 1000
HUGE_NUMBERS = ["1e300", "1e308", "1e999", "-1", "9007199254740993", "9" * 400]
ODD_ADDRESSES = [
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1",
    ":80",
    "10.0.0.1:\u00b2",
    "10.0.0.1:\u0661",
    "10.0.0.1:80 ",
    "10.0.0.1\r\nX: y:80",
    "10.0.0.1:8\r\n0",
    "a.example:80",
    "999.0.0.1:80",
    5,
    None,
    [],
    {},
]


def with_field(fields, name, raw):
    """Return JSON of an object in which one field has the given JSON text."""
    encoded = orjson.dumps({**fields, name: "\x00"})
    return encoded.replace(orjson.dumps("\x00"), raw)


def odd_values(fields, numbers=(), addresses=()):
    """Return malformed values of a row that has these fields."""
    values = [b"", b"null", b"[]", b"5", b'"x"', b"\xff\xfe", b"{", NESTED]
    values += [b'{"a":' * 900 + b"1" + b"}" * 900]
    for name in fields:
        values += [with_field(fields, name, NESTED)]
    for name in numbers:
        values += [with_field(fields, name, n.encode()) for n in HUGE_NUMBERS]
        values += [with_field(fields, name, raw) for raw in (b'"1"', b"true", b"{}")]
    for name in addresses:
        values += [orjson.dumps({**fields, name: odd}) for odd in ODD_ADDRESSES]
    return values


SERVER_VALUES = odd_values(
    {**SERVER, "zone": "z", "born": 1, "cold-left-ms": 0},
    ("slots", "born", "cold-left-ms"),
    ("addr",),
)
LAYERS = {**SERVER, "models": [{"name": "m", "version": 1}]}
SERVER_VALUES += [
    orjson.dumps({**SERVER, "models": odd}) for odd in (5, {}, [5], [{}], [[]])
]
SERVER_VALUES += [
    b'{"service":"s","addr":"10.0.0.9:80","state":"ready","models":[{"name":"m",'
    b'"version":%s}]}' % number.encode()
    for number in HUGE_NUMBERS
]
SERVER_VALUES += [
    with_field(LAYERS, "layers", b'[{"from":0,"to":%s}]' % number.encode())
    for number in HUGE_NUMBERS
]


def server_row(key, value, version):
    return Row(DEPLOYMENT.servers_table, key, value, version)


class Store:
    """Returns rows of a table; other tables are empty."""

    def __init__(self, rows):
        self.rows = rows

    async def read(self, table, key_prefix=""):
        found = tuple(row for row in self.rows if row.table == table)
        return RowChanges(found, 9)


def state_sync(store, emitted):
    cfg = VMSettings("vm", "127.0.0.1", "dc", "r", 1, StoreSettings(""))
    events = Events("vm", HybridClock(), lambda: 0.0)
    events.listeners.append(lambda kind, fields: emitted.append(kind))
    return StateSync(
        cfg,
        ME,
        DEPLOYMENT,
        store,
        Channels(HybridClock()),
        events,
        lambda: 0.0,
        random.Random(1),
    )


def rejects(parse, value):
    """Whether a parser rejects a value by an error that its callers handle."""
    try:
        parse(value)
    except WasabideckError as exc:
        return len(str(exc)) < 1000
    return False


@pytest.mark.parametrize("value", SERVER_VALUES, ids=range(len(SERVER_VALUES)))
def test_odd_server_row_names_no_server_and_the_others_hold(value):
    # Guards against processes that end again and again, stop following the list, or
    # connect to another server's port, because of one row of another writer.
    emitted = []
    sync = state_sync(Store([]), emitted)
    sync.server_watch.on_rows(
        [
            server_row("i-odd", value, 3),
            server_row("i-1", orjson.dumps(SERVER), 4),
        ]
    )
    assert sync.cluster_state.backends.names() == {"i-1"}
    assert emitted.count("row.unreadable") == 1
    row_entry(server_row("i-odd", value, 3))


@pytest.mark.parametrize("value", SERVER_VALUES, ids=range(len(SERVER_VALUES)))
def test_odd_server_row_does_not_keep_agents_from_their_peers(value):
    # Guards against an agent that knows no peers because of one row of another writer.
    emitted = []
    rows = [
        server_row("i-odd", value, 3),
        server_row("i-1", orjson.dumps(SERVER), 4),
    ]
    sync = state_sync(Store(rows), emitted)

    class Process:
        def __init__(self):
            self.cfg = VMSettings(
                "vm", "127.0.0.1", "dc", "r", 1, StoreSettings(""), service="s"
            )
            self.state_sync, self.events, self.clock = sync, sync.events, sync.clock

    peers = ListedPeers(Process(), DEPLOYMENT)
    asyncio.run(peers.read())
    assert peers._ips == {"10.0.0.9"}


MEMBER = {
    "vm": "a",
    "kind": "agent",
    "address": "10.0.0.1:7700",
    "region": "r",
    "data_centre": "dc",
    "service": "s",
    "leaving": False,
}
MEMBER_VALUES = odd_values(MEMBER, (), ("address",))
MEMBER_VALUES += [
    orjson.dumps({**MEMBER, name: odd})
    for name in MEMBER
    for odd in (5, None, [], {}, [[]])
]
MEMBER_VALUES += [
    orjson.dumps({**MEMBER, "vm": "another"}),
    orjson.dumps({**MEMBER, "kind": "king"}),
    orjson.dumps({**MEMBER, "x": 1}),
    orjson.dumps({"vm": "a"}),
]


@pytest.mark.parametrize("value", MEMBER_VALUES, ids=range(len(MEMBER_VALUES)))
def test_odd_member_row_names_no_member_and_the_others_hold(value):
    # Guards against a process that finds no peers, or whose loops end, because of one
    # row of another writer.
    emitted = []
    rows = [Row(MEMBERS_TABLE, "a", value, 3)]
    rows += [Row(MEMBERS_TABLE, "vm", member_row(ME).value, 4)]
    sync = state_sync(Store(rows), emitted)
    assert asyncio.run(sync.read_members())
    assert sync.gossip.members == {"vm": ME}
    assert emitted.count("row.unreadable") == 1


def test_rows_that_this_system_writes_are_accepted():
    # Guards against checks that refuse what other processes of the system write.
    member = Member("a", "agent", "10.0.0.1:7700", "r", "dc", "s", True)
    row = Row(MEMBERS_TABLE, "a", member_row(member).value, 1)
    assert parse_member(row) == member
    assert (
        DEPLOYMENT.parse_listed_server(
            server_row("i-1", orjson.dumps({**LAYERS, "born": 1_800_000_000_000}), 1)
        ).started_at_ms
        == 1_800_000_000_000
    )


def declaration(value):
    return parse_declaration(Row("op", "version/m", value, 1))


DECLARATION_VALUES = odd_values({"version": 2}, ("version",))


@pytest.mark.parametrize("value", DECLARATION_VALUES)
def test_odd_declaration_is_rejected(value):
    # Guards against a version that no message between processes can carry.
    assert rejects(declaration, value)


@pytest.mark.parametrize(
    "value",
    [
        value
        for value in odd_values(
            {"version": 1, "routes": [], "services": [], "tenants": []}, ("version",)
        )
        # Tenants and limits may be of no interest to older software.
        if b'"\x00"' not in value
    ],
)
def test_odd_configuration_is_rejected(value):
    # Guards against a process that ends at a configuration it cannot read.
    assert rejects(parse_configuration, value)


def times_value(value):
    return declaration_times_of(Row("times", "m", value, 1))


@pytest.mark.parametrize(
    "value",
    [
        *odd_values({"2": 1.0}, ("2",))[:9],
        b'{"2": 1e999}',
        b'{"2": [[[]]]}',
        b'{"2": %s}' % NESTED,
        b'{"%s": 1.0}' % (b"9" * 300),
        b'{"18446744073709551616": 1.0}',
        b'{"-1": 1.0}',
        b'{"x": 1.0}',
    ],
)
def test_odd_declaration_times_are_rejected(value):
    # Guards against an age of a version that no message between processes can carry.
    with pytest.raises(WasabideckError):
        times_value(value)


def test_accepted_declaration_times_can_be_sent():
    # Guards against a reply to a peer that fails as a number does not fit its field.
    times = times_value(b'{"9007199254740991": 1.0}')
    assert age_entries("m", {n: 0.0 for n in times}, {})


@pytest.mark.parametrize(
    "value",
    odd_values(
        {"part": "p", "depth": 1, "until": 5.0, "crashes": {}, "refuted_round": 0},
        ("depth", "refuted_round"),
    ),
)
def test_odd_quarantined_part_is_rejected(value):
    # Guards against requests refused, or a process that ends, by another writer's row.
    assert rejects(lambda v: parse_part(Row("parts", "k", v, 1)), value)


@pytest.mark.parametrize("value", odd_values({"vm": "a", "ticket": 1}, ("ticket",)))
def test_odd_delivery_is_rejected(value):
    # Guards against a report that ends at one row of another writer.
    assert rejects(lambda v: parse_delivery(Row("d", "k", v, 1)), value)


def test_row_whose_value_is_no_text_does_not_hide_the_others():
    # Guards against a table that cannot be read at all because of one row.
    rows = [
        {"table": "servers", "key": "odd", "ver": 1, "value": odd}
        for odd in (5, [], {}, True, "\u00e9", "a")
    ]
    rows.append({"table": "servers", "key": "i-1", "ver": 2, "value": "e30="})
    changes = _parse_changes({"rows": rows, "ver": 3})
    assert [row.value for row in changes.rows] == [b""] * 6 + [b"{}"]


@pytest.mark.parametrize(
    "value",
    odd_values({"seq": 1, "born": 1, "active": 0}, ("seq", "born", "active"))[9:],
)
def test_odd_report_of_an_engine_is_a_failed_call(value):
    # Guards against an agent that ends at its engine's report.
    def parse(body):
        response = parse_response("report", body, orjson.loads)
        return parse_response("report", response, _parse_state)

    with pytest.raises(PlatformUnavailable):
        parse(value)


# The platform's own list may name hosts.
LISTED_VALUES = [
    value
    for value in MEMBER_VALUES[:60]
    if b"a.example" not in value and b"999.0.0.1" not in value
]


@pytest.mark.parametrize("value", LISTED_VALUES, ids=range(len(LISTED_VALUES)))
def test_odd_entry_of_the_platforms_list_does_not_hide_the_others(value):
    # Guards against a process that keeps an old list as one entry cannot be read.
    body = b"[%s,%s]" % (value or b"null", member_row(ME).value)
    try:
        orjson.loads(body)
    except ValueError:
        return
    assert _parse_members(body)[-1] == ME
    assert len(_parse_members(body)) == 1
