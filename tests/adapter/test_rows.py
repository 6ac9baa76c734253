"""Decoding of the platform's rows, settings and headers into the product's types."""

import json

import pytest
from wasabideck_adapter.head_codec import HEAD_CODEC
from wasabideck_adapter.json_fields import Malformed
from wasabideck_adapter.rows import (
    parse_configuration,
    parse_declaration,
    parse_listed_server,
)
from wasabideck_adapter.settings import read_settings
from wasabideck_base.rows import Row
from wasabideck_forward.http_heads import CallerRequest, RequestParameters
from wasabideck_policy.backends import LoadedLayers
from wasabideck_policy.configuration import Kind

CONFIGURATION = {
    "version": 7,
    "unheard-of": {"x": 1},
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "path-prefix": "/a/",
            "type": "streaming",
            "timeout-ms": 6000,
            "goal-ms": 405,
            "priority": 1,
            "service": "llm",
            "max-attempts": 2,
            "resumable": True,
            "target-gap-ms": 300,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path-prefix": "/a/b/",
            "type": "unsafe",
            "timeout-ms": 600,
            "traffic-split": [
                {"service": "x", "weight": 90},
                {"service": "y", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "llm", "max-conns": 5},
        {"name": "o", "origin": "172.20.0.3:8006", "link-mbps": 7.3},
    ],
    "limits": {"max-header-bytes": 100, "idle-timeout-ms": 1500},
    "tenants": [{"name": "t", "api-keys": ["k1", "k2"], "priority": 1}],
}
SERVER = {
    "service": "llm",
    "addr": "10.128.0.9:8080",
    "zone": "z",
    "state": "ready",
    "slots": 16,
    "cold-left-ms": 1500,
    "born": 17,
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "layers": [{"from": 0, "to": 16, "version": 2}],
    "seq": 4,
}


def server_row(**changes):
    data = {**SERVER, **changes}
    data = {key: value for key, value in data.items() if value is not ...}
    return Row("servers", "i-1", json.dumps(data).encode(), 5)


def test_all_parts_of_a_configuration_are_decoded():
    cfg = parse_configuration(json.dumps(CONFIGURATION).encode())
    assert cfg.number == 7
    route = cfg.route("h.example", "/a/x")
    assert (route.kind, route.timeout_seconds, route.max_event_interval_seconds) == (
        Kind.STREAM,
        6.0,
        0.3,
    )
    assert route.idempotent
    assert cfg.route("h.example", "/a/b/c").shares == (("x", 90), ("y", 10))
    assert cfg.limits.max_header_bytes == 100
    assert cfg.limits.idle_timeout_seconds == 1.5
    assert cfg.keys["k2"].name == "t"
    assert cfg.origin().address == "172.20.0.3:8006"


def test_server_row_is_decoded():
    listed = parse_listed_server(server_row())
    assert listed.loaded == (LoadedLayers("m", 2, 0, 16),)
    assert (listed.cold_seconds, listed.started_at_ms, listed.leaving) == (
        1.5,
        17,
        False,
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"service": ...},
        {"service": 5},
        {"state": "dancing"},
        {"addr": "nowhere"},
        {"addr": None},
        {"slots": "many"},
        {"models": [5]},
        {"models": {"name": "m"}},
        {"layers": 7},
        {"layers": [{"from": 0}]},
        {"born": "yesterday"},
    ],
)
def test_server_row_with_a_wrong_field_is_malformed(changes):
    with pytest.raises(Malformed) as caught:
        parse_listed_server(server_row(**changes))
    assert caught.value.field


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"5", b"{"])
def test_bytes_that_are_no_json_object_are_malformed(value):
    with pytest.raises(Malformed):
        parse_listed_server(Row("servers", "i-1", value, 5))
    with pytest.raises(Malformed):
        parse_configuration(value)
    with pytest.raises(Malformed):
        parse_declaration(Row("op", "config", value, 5))


def test_row_of_a_loading_server_may_have_null_layers():
    # While an engine loads, the layers in its row are null. Code that expected a list
    # terminated every agent at the same moment, in the middle of a rollout.
    assert parse_listed_server(server_row(models=[], layers=None)).loaded == ()
    assert parse_listed_server(server_row(layers=None)).loaded[0].version == 2


def test_operators_rows_are_decoded_into_declarations():
    value = json.dumps({"model": "m", "version": 3}).encode()
    declared = parse_declaration(Row("op", "version/m", value, 9))
    assert (declared.key, declared.number) == ("weights/m", 3)
    assert parse_declaration(Row("op", "other", b"{}", 9)) is None
    assert parse_declaration(Row("op", "config", b"", 9, removed=True)) is None


def test_headers_that_callers_must_not_set_are_dropped():
    headers = [
        (b"Host", b"h.example:80"),
        (b"X-Request-Id", b"r"),
        (b"X-Tenant", b"evil"),
        (b"X-Expect-Instance", b"evil"),
        (b"X-Expect-Version", b"1"),
        (b"X-Request-Priority", b"0"),
        (b"Authorization", b"Token k"),
        (b"Connection", b"x-drop, keep-alive"),
        (b"X-Drop", b"1"),
        (b"X-Keep", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"X-Token-Usage", b"1460,80"),
        (b"X-Deadline-Ms", b"6097"),
    ]
    head = HEAD_CODEC.parse_request_head(headers)
    assert (head.host, head.api_key, head.prompt_tokens, head.max_response_tokens) == (
        "h.example",
        "k",
        1460,
        80,
    )
    assert head.wait_seconds == 6.097
    req = CallerRequest(b"POST", b"/p?q", headers, head, 0.0, body=b"x" * 5)
    sent = HEAD_CODEC.format_request_head(
        req, RequestParameters("i-1", 0.25, "org", version=4)
    )
    assert b"evil" not in sent and b"X-Drop" not in sent and b"chunked" not in sent
    for line in (
        b"X-Keep: 1",
        b"X-Expect-Instance: i-1",
        b"X-Expect-Version: 4",
        b"X-Tenant: org",
        b"X-Deadline-Ms: 250",
        b"Content-Length: 5",
    ):
        assert line in sent


def test_response_headers_are_decoded_for_each_status():
    refused = HEAD_CODEC.parse_response_head(503, [(b"X-Not-Executed", b"1")])
    assert refused.refused
    assert not HEAD_CODEC.parse_response_head(503, []).refused
    assert not HEAD_CODEC.parse_response_head(400, [(b"X-Not-Executed", b"1")]).refused
    assert HEAD_CODEC.parse_response_head(421, []).misdirected
    assert (
        HEAD_CODEC.parse_response_head(200, [(b"X-Server-Load", b"3,1,8")]).load.waiting
        == 1
    )
    assert (
        HEAD_CODEC.parse_response_head(200, [(b"X-Server-Load", b"3,x,8")]).load is None
    )


SETTINGS = {
    "node": "n",
    "ip": "10.1.0.40",
    "zone": "z",
    "region": "r",
    "zones": {"z": "r"},
    "listen": {"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002"},
    "port-range": [7700, 7715],
    "seeds": ["10.1.0.40:8000", "10.2.0.37:8000"],
    "limits": {"link-mbps": 8},
    "bounds": {"version_ms": 9000},
    "provider": {"addr": "10.200.1.7:8007"},
    "a-new-field": [1],
}


def write_settings(tmp_path, data):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(data))
    return path


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path):
    cfg = read_settings(write_settings(tmp_path, SETTINGS))
    assert cfg.limits.version_deadline_seconds == 9.0
    assert cfg.link_bytes_per_second == 1_000_000
    assert cfg.inner_seeds() == ["10.2.0.37:7700"]


@pytest.mark.parametrize("name", ["node", "ip", "zone", "provider", "port-range"])
def test_error_names_the_missing_setting(tmp_path, name):
    data = {key: value for key, value in SETTINGS.items() if key != name}
    with pytest.raises(Malformed) as caught:
        read_settings(write_settings(tmp_path, data))
    assert caught.value.field == name
    assert "settings.json" in str(caught.value)
