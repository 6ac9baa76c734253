"""A small rollout by the ``distribute`` experiment with real processes."""

import asyncio

from wasabideck_lab.distribute import run_distribute
from wasabideck_lab.rollout import Plan


def test_a_rollout_over_two_regions_is_verified_on_every_vm():
    plan = Plan(
        replicas=2, regions=2, chunks=16, copy_seconds=0.5, baseline_seconds=0.2
    )
    row = asyncio.run(run_distribute(plan))
    assert (row["finished"], row["verified"], row["mixed"]) == (True, 2, 0)
    assert row["origin_copies"] >= 1.0
