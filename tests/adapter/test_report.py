"""The report command reads the platform's store and needs no settings file."""

import base64
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import orjson
import pytest
from attrs import asdict
from wasabideck_adapter.programs import main
from wasabideck_policy.delivery_row import Delivery, delivery_key


def _delivery(vm, version, started_at, in_force, source):
    manifest = f"digest-{version}"
    return Delivery(
        vm,
        "s",
        "model",
        version,
        "m",
        str(version),
        manifest,
        started_at,
        in_force=in_force,
        sources={source: 64},
    )


DELIVERIES = [
    _delivery("vm-1", 2, 10.0, 18.5, "origin"),
    _delivery("vm-2", 2, 10.0, 19.0, "vm-1"),
    _delivery("vm-1", 3, 30.0, 37.0, "vm-2"),
]


@pytest.fixture
def store():
    """Address of a fake store with the rows of the deliveries and one malformed row."""
    rows = [(delivery_key(d), orjson.dumps(asdict(d))) for d in DELIVERIES]
    rows.append(("zz", b"not ours"))

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            assert "table=wasabideck-deliveries" in self.path
            body = orjson.dumps(
                {
                    "rows": [
                        {
                            "table": "wasabideck-deliveries",
                            "part": "",
                            "key": key,
                            "value": base64.b64encode(value).decode(),
                            "ver": 7,
                        }
                        for key, value in rows
                    ],
                    "ver": 7,
                    "has-more": False,
                }
            )
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


def test_report_shows_vm_weights_times_and_sources(store, capsys):
    main(["report", store, "--version", "2"])
    output = capsys.readouterr()
    lines = output.out.splitlines()
    assert lines[0].split()[:3] == ["VM", "TICKET", "VERSION"]
    assert lines[1].split() == (
        ["vm-1", "2", "m", "2", "00:00:10.000", "-", "00:00:18.500", "origin", "64"]
    )
    assert lines[2].split()[-2:] == ["vm-1", "64"]
    assert len(lines) == 3
    assert "wasabideck-deliveries/zz: (value) = b'not ours'" in output.err


def test_report_of_one_vm_as_json(store, capsys):
    main(["report", store, "--vm", "vm-1", "--json"])
    rows = orjson.loads(capsys.readouterr().out)
    assert [(row["version"], row["sources"]) for row in rows] == (
        [("2", {"origin": 64}), ("3", {"vm-2": 64})]
    )


def test_unreachable_store_is_an_error_with_its_address(capsys):
    with pytest.raises(SystemExit) as exited:
        main(["report", "127.0.0.1:1"])
    assert exited.value.code == 1
    assert "127.0.0.1:1" in capsys.readouterr().err
