"""Contents of declarations between processes."""

import random
import zlib

import orjson
import pytest
from wasabideck_base import packing
from wasabideck_base.packing import MalformedContent, unpacked
from wasabideck_base.told import COMPRESSED, DECLARED, declaration_entry, declaration_of
from wasabideck_policy.declarations import CONFIGURATION, Declaration
from wasabideck_wire import inner_pb2 as pb


def configuration(routes, rng):
    """Content as operators write it: routes whose names differ."""
    rows = [
        {
            "name": f"route-{rng.getrandbits(32):08x}",
            "host": f"{rng.getrandbits(48):012x}.example.org",
            "path-prefix": "/v1/answers",
            "type": "safe",
            "timeout-ms": 3000,
            "service": f"service-{rng.randrange(9)}",
        }
        for _ in range(routes)
    ]
    return orjson.dumps({"version": 2, "routes": rows})


def test_a_configuration_crosses_a_thin_link_compressed(rng):
    # Uncompressed, 1 MB for each of four followers keeps a reader's own link of 14
    # Mbit/s full for 2.4 s.
    told = Declaration(CONFIGURATION, 2, configuration(4200, rng))
    entry = declaration_entry(told)
    assert entry.slot == COMPRESSED
    assert entry.ByteSize() < len(told.content) / 5
    assert declaration_of(entry) == told


def test_what_does_not_shrink_is_told_as_it_is():
    # A version's few bytes would grow.
    told = Declaration("weights/m", 2, b"{}")
    entry = declaration_entry(told)
    assert (entry.slot, entry.change) == (DECLARED, b"{}")
    assert declaration_of(entry) == told


@pytest.mark.parametrize(
    "data",
    [b"\x00", b"{}", zlib.compress(b"x" * 500)[:-3], random.Random(1).randbytes(99)],
)
def test_bytes_that_are_no_packed_content_are_a_typed_failure(data):
    # A damaged peer would end the service's call, or put half a configuration in force.
    with pytest.raises(MalformedContent):
        declaration_of(pb.Entry(scope=CONFIGURATION, slot=COMPRESSED, change=data))


def test_content_that_grows_without_bound_is_refused(monkeypatch):
    # A few KB that unpack to gigabytes take the process's memory.
    monkeypatch.setattr(packing, "MOST_CONTENT_BYTES", 1000)
    assert unpacked("k", zlib.compress(b"x" * 1000)) == b"x" * 1000
    with pytest.raises(MalformedContent):
        unpacked("k", zlib.compress(b"x" * 1001))
