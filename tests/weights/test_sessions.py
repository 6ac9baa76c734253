"""Golden files of whole transfer sessions of one VM."""

from driver import ALL, TEXTS, FakePeer


def test_undisturbed(session, gaining, data_regression):
    run = session(gaining("b"), gaining("c", first=4), gaining("d", first=2))
    run.run(5.0)
    data_regression.check(run.log)


def test_corrupt_chunk(session, gaining, data_regression):
    # An operator sees an engine answer rubbish: a peer's memory was damaged, it sent
    # a flipped byte, and nobody compared the chunk with its digest. Now the chunk is
    # dropped, its sender is set back, and the chunk comes from another.
    run = session(gaining("b", corrupt=ALL), gaining("c", first=4))
    run.run(5.0)
    assert any("corrupt from b" in line for line in run.log)
    assert run.log[-1].endswith("whole")
    data_regression.check(run.log)


def test_owner_dies(session, data_regression):
    # A rollout never ends: the VM that was to read some chunks from the origin died
    # before it read them, and everyone waits for it. The next in rank takes over.
    run = session(
        FakePeer("b", cut=(0.0, 99.0)), FakePeer("c", holds={0.3: 0b1111}), vm="a"
    )
    run.run(9.0)
    assert run.log[-1].endswith("whole")
    data_regression.check(run.log)


def test_superseded_mid_transfer(session, gaining, data_regression):
    # An operator submits a second version while the first is still under way, and an
    # engine is given chunks of both. The first is given up half-way and never whole;
    # what both share is not fetched again.
    first = session(gaining("b"), gaining("c", first=4))
    first.run(0.6)
    later = [*TEXTS[:4], *(f"newer {i}" for i in range(4))]
    second = session(
        FakePeer("b", holds={1.0: ALL}),
        FakePeer("c", holds={0.9: 0b11110000}),
        texts=later,
        version="v2",
        store=first.store,
        begun=0.6,
    )
    kept = second.view.held
    second.run(5.0)
    first.store.keep_only({second.manifest.digest})
    assert second.store.whole(second.manifest)
    assert not first.store.whole(first.manifest)
    fetched = [line for line in second.log if "fetch" in line]
    assert len(fetched) == len(later) - kept.bit_count()
    data_regression.check({"first": first.log, "second": second.log})


def test_region_cut_and_back(session, data_regression):
    # A region loses the others in the midst of a rollout and stays on the former
    # version for ever, as its gateway gave the peers over the link up. They are
    # asked again, and the transfer goes on when the link is back.
    cut = (0.5, 4.0)
    run = session(
        FakePeer("b", holds={0.0: ALL}, cut=cut),
        FakePeer("c", holds={0.0: ALL}, cut=cut),
        FakePeer("d", region="r2"),
        region="r2",
    )
    run.run(20.0)
    assert any("lost" in line or "no word" in line for line in run.log)
    assert run.log[-1].endswith("whole")
    data_regression.check(run.log)
