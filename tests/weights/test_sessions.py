"""Golden files of complete transfer sessions of one VM."""

from driver import ALL_CHUNKS, TEXTS, FakePeer


def test_undisturbed(session, gaining, data_regression):
    run = session(gaining("b"), gaining("c", first=4), gaining("d", first=2))
    run.run(5.0)
    data_regression.check(run.log)


def test_corrupt_chunk(session, gaining, data_regression):
    # Guards against an engine that serves corrupt weights: a peer with damaged memory
    # sends a flipped byte, and the chunk is not compared with its digest. The chunk has
    # to be dropped, its sender put into backoff, and another peer used.
    run = session(gaining("b", corrupt=ALL_CHUNKS), gaining("c", first=4))
    run.run(5.0)
    assert any("corrupt from b" in line for line in run.log)
    assert run.log[-1].endswith("whole")
    data_regression.check(run.log)


def test_owner_dies(session, data_regression):
    # Guards against a rollout that never ends: the VM that owns some chunks of the
    # origin terminates before it has read them, and all others wait for it. The next
    # VM in rank has to read them.
    run = session(
        FakePeer("b", unresponsive_between=(0.0, 99.0)),
        FakePeer("c", holds={0.3: 0b1111}),
        vm="a",
    )
    run.run(9.0)
    assert run.log[-1].endswith("whole")
    data_regression.check(run.log)


def test_superseded_mid_transfer(session, gaining, data_regression):
    # Guards against an engine that gets chunks of two versions: an operator submits a
    # second version while the first is still being transferred. The first transfer is
    # abandoned and never complete; chunks that both share are not fetched again.
    first = session(gaining("b"), gaining("c", first=4))
    first.run(0.6)
    later = [*TEXTS[:4], *(f"newer {i}" for i in range(4))]
    second = session(
        FakePeer("b", holds={1.0: ALL_CHUNKS}),
        FakePeer("c", holds={0.9: 0b11110000}),
        texts=later,
        version="v2",
        store=first.store,
        started_at=0.6,
    )
    already_held = second.view.held
    second.run(5.0)
    first.store.keep_manifests({second.manifest.digest})
    assert second.store.is_complete(second.manifest)
    assert not first.store.is_complete(first.manifest)
    fetched = [line for line in second.log if "fetch" in line]
    assert len(fetched) == len(later) - already_held.bit_count()
    data_regression.check({"first": first.log, "second": second.log})


def test_region_cut_and_back(session, data_regression):
    # Guards against a region that loses the connection to the others during a rollout
    # and stays on the former version forever, as its gateway no longer queries its
    # remote peers. They are queried again, and the transfer continues afterwards.
    outage = (0.5, 4.0)
    run = session(
        FakePeer("b", holds={0.0: ALL_CHUNKS}, unresponsive_between=outage),
        FakePeer("c", holds={0.0: ALL_CHUNKS}, unresponsive_between=outage),
        FakePeer("d", region="r2"),
        region="r2",
    )
    run.run(20.0)
    assert any("lost" in line or "no word" in line for line in run.log)
    assert run.log[-1].endswith("whole")
    data_regression.check(run.log)
