"""A rollout among hundreds of VMs in several regions."""

import random

from wasabideck_policy.fetch_policy import choose_fetch
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.transfer_view import TransferView, record_holdings, set_members

CHUNKS = 96
REGIONS = 5
MAX_ORIGIN_CONNECTIONS = 48


def view_of(vm, vms):
    regions = [f"r{n % REGIONS}" for n in range(vms)]
    members = [Member(f"vm-{n}", AGENT, "", r, "dc") for n, r in enumerate(regions)]
    region = next(m.region for m in members if m.vm == vm)
    view = TransferView(vm, [f"d-{n}" for n in range(CHUNKS)], 0.0, region, "dc")
    set_members(view, "m", members)
    return view


def test_the_only_local_holder_is_found_among_hundreds_of_remote_ones():
    # Guards against a VM that fetches nothing for a while because the holders that it
    # considers are drawn from all regions, and hardly any is in its own region.
    for seed in range(20):
        view = view_of("vm-0", 400)
        for n in range(1, 400):
            if n % REGIONS:
                record_holdings(view, f"vm-{n}", 1, 1.0)
        record_holdings(view, "vm-5", 1 << 3, 1.0)
        view.progress_at = 1.0
        fetch = choose_fetch(view, 1.0, random.Random(seed))
        assert (fetch.index, fetch.source) == (3, "vm-5")


def test_concurrent_origin_reads_do_not_exceed_its_connections():
    # Guards against an origin that resets excess connections: the VMs that own its
    # chunks have to retry, which delays a rollout of hundreds of VMs by one second.
    readers = 0
    for n in range(400):
        fetch = choose_fetch(view_of(f"vm-{n}", 400), 2.0, random.Random(n))
        readers += fetch is not None and not fetch.source
    assert 0 < readers <= MAX_ORIGIN_CONNECTIONS / 2
