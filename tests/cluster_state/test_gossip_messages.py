"""Encoding of declarations in gossip messages."""

import random
import zlib

import orjson
import pytest
from wasabideck_base import compression
from wasabideck_base.compression import MalformedContent, decompress
from wasabideck_base.gossip_messages import (
    COMPRESSED,
    DECLARED,
    age_entries,
    declaration_entry,
    declaration_of,
    declared_between,
)
from wasabideck_policy.declarations import CONFIGURATION, Declaration
from wasabideck_wire import inner_pb2 as pb


def configuration(routes, rng):
    """Return content as operators write it: routes with different names."""
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


def test_configuration_is_sent_compressed(rng):
    # Uncompressed, 1 MB for each of four followers fills a reader's own link of 14
    # Mbit/s for 2.4 s.
    declaration = Declaration(CONFIGURATION, 2, configuration(4200, rng))
    entry = declaration_entry(declaration)
    assert entry.slot == COMPRESSED
    assert entry.ByteSize() < len(declaration.content) / 5
    assert declaration_of(entry) == declaration


def test_content_that_does_not_shrink_is_sent_uncompressed():
    # Compression would make a version's few bytes larger.
    declaration = Declaration("weights/m", 2, b"{}")
    entry = declaration_entry(declaration)
    assert (entry.slot, entry.change) == (DECLARED, b"{}")
    assert declaration_of(entry) == declaration


@pytest.mark.parametrize(
    "data",
    [b"\x00", b"{}", zlib.compress(b"x" * 500)[:-3], random.Random(1).randbytes(99)],
)
def test_invalid_compressed_content_raises_malformed_content(data):
    # A faulty peer would end the service's call, or put a partial configuration in
    # effect.
    with pytest.raises(MalformedContent):
        declaration_of(pb.Entry(scope=CONFIGURATION, slot=COMPRESSED, change=data))


def test_content_that_decompresses_beyond_limit_is_refused(monkeypatch):
    # A few KB that decompress to gigabytes exhaust the process's memory.
    monkeypatch.setattr(compression, "MAX_CONTENT_BYTES", 1000)
    assert decompress("k", zlib.compress(b"x" * 1000)) == b"x" * 1000
    with pytest.raises(MalformedContent):
        decompress("k", zlib.compress(b"x" * 1001))


def test_interval_in_an_age_entry_contains_the_one_known(rng):
    # Guards against an interval that rounding to milliseconds shifts: those of two
    # peers would contradict each other, and the version grow older with each exchange.
    for _ in range(200):
        earliest, now = rng.uniform(0.0, 50.0), rng.uniform(60.0, 70.0)
        latest = earliest + rng.choice([0.0, rng.uniform(0.0, 5.0)])
        (entry,) = age_entries("weights/m", {2: now - earliest}, {2: latest - earliest})
        told = declared_between(entry, now, now)
        assert earliest - 0.0011 <= told[0] <= earliest + 1e-6
        assert latest - 1e-6 <= told[1] <= latest + 0.0011


def test_age_without_an_error_is_exact():
    # Guards against ages of processes of an earlier build that have no effect.
    entry = pb.Entry(scope="weights/m", slot="named", ticket=2, age_ms=2500)
    assert declared_between(entry, 10.0, 10.75) == (7.5, 8.25)
