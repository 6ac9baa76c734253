"""Measures the cost of an agent's decisions in a transfer, by fleet size."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable

from wasabideck_policy.fetch_policy import choose_fetch, peers_to_query
from wasabideck_policy.manifests import chunk_digest
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.transfer_view import TransferView, record_holdings, set_members

__all__ = ["measure_decisions"]

FLEET_SIZES = (16, 64, 256, 1024, 2100)
CHUNKS = 256
REGIONS = 3
REPEATS = 300


def measure_decisions(seed: int) -> list[dict]:
    """Return the microseconds per decision and the bytes of a view, by fleet size."""
    return [_measure(fleet_size, seed) for fleet_size in FLEET_SIZES]


def _measure(fleet_size: int, seed: int) -> dict:
    rng = random.Random(f"{seed}/{fleet_size}")
    digests = [chunk_digest(str(index).encode()) for index in range(CHUNKS)]
    members = [
        Member(f"vm-{i}", AGENT, "", f"region-{i % REGIONS}") for i in range(fleet_size)
    ]
    tracemalloc.start()
    view = TransferView("vm-0", digests, 0.0, "region-0", origin_region="region-0")
    set_members(view, "manifest", members)
    for member in members:
        record_holdings(
            view, member.vm, rng.getrandbits(CHUNKS) & rng.getrandbits(CHUNKS), 0.0
        )
    view.held = rng.getrandbits(CHUNKS)
    view_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "vms": fleet_size,
        "chunks": CHUNKS,
        "next_fetch_us": _median_micros(lambda: choose_fetch(view, 1.0, rng)),
        "whom_to_ask_us": _median_micros(lambda: peers_to_query(view, 1.0, rng)),
        "hear_us": _median_micros(
            lambda: record_holdings(view, "vm-1", rng.getrandbits(CHUNKS), 1.0)
        ),
        "set_members_us": _median_micros(
            lambda: set_members(view, "manifest", members), 5
        ),
        "view_bytes": view_bytes,
        "bitmap_bytes": CHUNKS // 8,
    }


def _median_micros(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median duration of repeated calls, in microseconds."""
    durations = []
    for _ in range(repeats):
        started = time.perf_counter()
        call()
        durations.append(time.perf_counter() - started)
    return round(sorted(durations)[repeats // 2] * 1e6, 1)
