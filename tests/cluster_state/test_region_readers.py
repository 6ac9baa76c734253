"""Region readers: entries that follow the operators' table for their region."""

import asyncio

import pytest
from region_of_entries import REGION, run_region, wait_until
from wasabideck_base import region_readers
from wasabideck_policy.declarations import weights_key
from wasabideck_policy.reader_selection import MIN_ENTRIES_FOR_SHARING
from wasabideck_policy.rendezvous import rank_vms

# Time for entries that have read the table to find out which of them follow it.
SETTLED_SECONDS = 0.8
# Time after its confirmation within which a change has to be in effect.
IN_EFFECT_SECONDS = 2.0
# The loss of a reader shows in less than a second; the rest allows for a busy machine.
DETECTED_SECONDS = 1.4
KEY = weights_key("m")


@pytest.fixture
def region():
    """Run a scenario with a region's readers and followers, once roles are settled."""

    def run(scenario, size=6):
        async def settled(store, entries):
            ranked = rank_vms(REGION, [e.vm for e in entries])
            entries.sort(key=lambda entry: ranked.index(entry.vm))
            readers, followers = entries[:2], entries[2:]
            if size >= MIN_ENTRIES_FOR_SHARING:
                await wait_until(
                    lambda: all(e.state_sync.readers.covered for e in followers)
                )
            else:
                await asyncio.sleep(SETTLED_SECONDS)
            await scenario(store, readers, followers)

        run_region(settled, size, virtual_time=True)

    return run


def numbers(entries):
    return [entry.number for entry in entries]


def positions(entries):
    """Return the store versions that the entries' copies of the table reflect."""
    return [entry.state_sync.operator_watch.version for entry in entries]


def ages(entry):
    """Return the ages in seconds of versions as the entry would report them."""
    return entry.state_sync._ages_of(KEY)


def test_six_entries_read_a_configuration_twice(region):
    # Six full reads of 359 KB to 1 MB fill the region's link for 1.4 to 4 s.
    async def scenario(store, readers, followers):
        entries = [*readers, *followers]
        store.configure(2)
        await asyncio.sleep(SETTLED_SECONDS)
        assert numbers(entries) == [2] * 6
        assert len(store.recipients_of("config")) == 2

    region(scenario)


def test_two_entries_both_follow_the_table(region):
    # Otherwise one of two entries would rely on a single reader.
    async def scenario(store, readers, followers):
        store.configure(2)
        await wait_until(lambda: numbers(readers) == [2, 2])
        assert sorted(store.recipients_of("config")) == ["e0", "e1"]
        assert not readers[0].events_of("watch.covered")

    region(scenario, 2)


def terminated(entry):
    entry.stop()


def suspended(entry):
    entry.suspend()


def cut_off(entry):
    entry.store.refused.add(entry.vm)
    entry.state_sync.readers._watch_task.cancel()
    entry.state_sync.readers._watch_task = None


def with_unresponsive_store(entry):
    entry.store.unresponsive.add(entry.vm)


@pytest.mark.parametrize("fails", [terminated, suspended, cut_off])
def test_change_takes_effect_in_time_when_both_readers_fail(region, fails):
    # Both readers terminate, are suspended or lose the store just as a configuration is
    # confirmed: no process is notified of it, and no follower has a pending call.
    async def scenario(store, readers, followers):
        for reader in readers:
            fails(reader)
        store.configure(2)
        duration = await wait_until(lambda: numbers(followers) == [2] * 4)
        assert duration < DETECTED_SECONDS < IN_EFFECT_SECONDS
        # Some receive it from another follower before they notice the readers' loss.
        uncovered = [
            fields for f in followers for fields in f.events_of("watch.uncovered")
        ]
        assert 1 <= len(uncovered) <= 4
        assert max(fields["age"] for fields in uncovered) <= DETECTED_SECONDS

    region(scenario)


def test_readers_with_unresponsive_calls_cover_nobody(region):
    # Guards against a revoked key that stays in effect: both readers wait for answers
    # that cannot arrive, and report to their followers that they follow the table.
    async def scenario(store, readers, followers):
        for reader in readers:
            with_unresponsive_store(reader)
        store.configure(2)
        duration = await wait_until(lambda: numbers(followers) == [2] * 4)
        assert duration < IN_EFFECT_SECONDS

    region(scenario)


def test_all_entries_of_a_small_region_read(region):
    # Guards against entries that rely on others where that saves only a copy or two.
    async def scenario(store, readers, followers):
        store.configure(2)
        await wait_until(lambda: numbers([*readers, *followers]) == [2] * 4)
        assert len(store.recipients_of("config")) == 4

    region(scenario, 4)


def test_reader_refused_by_store_covers_nobody(region):
    # Such a reader replies to its followers while it receives nothing itself.
    async def scenario(store, readers, followers):
        for reader in readers:
            cut_off(reader)
        calls = [len(f.process_store.follows) for f in followers]
        await wait_until(
            lambda: not any(f.state_sync.readers.covered for f in followers)
        )
        await wait_until(
            lambda: all(
                len(f.process_store.follows) > n
                for f, n in zip(followers, calls, strict=True)
            )
        )

    region(scenario)


def test_one_reader_is_enough(region):
    # Guards against the loss of one of two readers making all followers read.
    async def scenario(store, readers, followers):
        readers[0].stop()
        await wait_until(lambda: followers[0].events_of("reader.begun"))
        store.configure(2)
        await wait_until(lambda: numbers(followers) == [2] * 4)
        await asyncio.sleep(0.3)
        # The next entry in rank replaces the reader that terminated.
        sent = store.recipients_of("config")
        assert sorted(sent) == sorted([readers[1].vm, followers[0].vm])

    region(scenario)


def test_change_with_lost_notification_is_picked_up(region, monkeypatch):
    # The readers' calls to their followers are aborted, and are not repeated.
    async def discard(gossip, declarations, addresses):
        pass

    async def scenario(store, readers, followers):
        monkeypatch.setattr(type(readers[0].state_sync.gossip), "push", discard)
        store.configure(2)
        duration = await wait_until(lambda: numbers(followers) == [2] * 4)
        assert duration < 4 * region_readers.POLL_INTERVAL_SECONDS
        assert len(store.recipients_of("config")) == 2

    region(scenario)


def test_followers_are_notified_at_once(region, monkeypatch):
    # Versions would take effect at followers up to 0.4 s later than at readers.
    async def scenario(store, readers, followers):
        monkeypatch.setattr(region_readers, "POLL_INTERVAL_SECONDS", 60.0)
        await asyncio.sleep(0.25)
        store.configure(2)
        duration = await wait_until(lambda: numbers(followers) == [2] * 4)
        assert duration < 0.2

    region(scenario)


def test_followers_of_unresponsive_readers_call_store_when_peer_knows_more(
    region, monkeypatch
):
    # The calls of both readers are unresponsive without an error, and both still reply.
    async def scenario(store, readers, followers):
        monkeypatch.setattr(region_readers, "MAX_LAG_SECONDS", 0.3)
        for reader in readers:
            store.unresponsive.add(reader.vm)
            reader.state_sync.readers._watch_task.cancel()
            reader.state_sync.readers._watch_task = asyncio.create_task(
                asyncio.Event().wait()
            )
        store.configure(2)
        await asyncio.sleep(0.2)
        assert numbers(followers) == [1] * 4
        followers[0].state_sync.operator_watch.note_newer_row(store.version)
        duration = await wait_until(lambda: followers[0].number == 2)
        assert duration < 0.3 + DETECTED_SECONDS
        assert (
            followers[0].events_of("watch.uncovered")[0]["why"] == "a peer knows more"
        )

    region(scenario)


def test_follower_continues_from_readers_position(region):
    # Guards against followers that, after their readers terminate, read the whole table
    # again, fetch rows that they have, or miss rows that the readers lacked.
    async def scenario(store, readers, followers):
        store.configure(2)
        await wait_until(lambda: numbers(followers) == [2] * 4)
        whole = store.rows["op", "config"].version
        # The readers' position is past all rows of the table, and the store's past it.
        store.put("other", "first", b"")
        position = store.version
        await wait_until(lambda: positions(readers) == [position] * 2)
        since = asyncio.get_running_loop().time()
        readers_seen = [f.state_sync.readers.readers for f in followers]
        await wait_until(
            lambda: all(seen.last_confirmed_at > since for seen in readers_seen)
        )
        store.put("other", "second", b"")
        assert positions(readers) == [position] * 2
        assert store.version == position + 1 > whole + 1
        # While the store refuses it, a follower's position does not change.
        store.refused = {f.vm for f in followers}
        before = [len(f.process_store.follows) for f in followers]
        for reader in readers:
            reader.stop()

        def tried():
            follows = [f.process_store.follows for f in followers]
            return [f[n:] for f, n in zip(follows, before, strict=True)]

        await wait_until(lambda: all(tried()))
        assert {after for follows in tried() for after in follows} == {position}
        store.refused = set()
        store.declare_version(3)
        states = [f.state_sync.cluster_state for f in followers]
        await wait_until(lambda: all(b.newest_version("m") == 3 for b in states))
        assert len(store.recipients_of("config", whole)) == 2

    region(scenario)


def test_followers_do_not_underestimate_age_against_readers(region):
    # Otherwise draft requests would go to expired weights.
    async def scenario(store, readers, followers):
        store.declare_version(2)
        states = [f.state_sync.cluster_state for f in followers]
        await wait_until(lambda: all(b.newest_version("m") == 2 for b in states))
        await asyncio.sleep(2.5 * region_readers.POLL_INTERVAL_SECONDS)
        oldest = max(ages(reader)[2] for reader in readers)
        for follower in followers:
            assert ages(follower)[2] >= oldest - 0.02

    region(scenario)


def test_age_is_not_underestimated_when_readers_do_not_know_it(region):
    # Readers that started when version 2 was declared report no ages; a follower would
    # count the age of version 3 from its own time of receipt.
    async def scenario(store, readers, followers):
        now = asyncio.get_running_loop().time
        for reader in readers:
            reader.state_sync.cluster_state.declare_version("m", 2, now(), False)
        declared_at = now()
        store.declare_version(3)
        states = [f.state_sync.cluster_state for f in followers]
        await wait_until(lambda: all(b.newest_version("m") == 3 for b in states))
        assert all(ages(reader) == {} for reader in readers)
        for follower in followers:
            age = ages(follower)[3]
            assert now() - declared_at <= age < now() - declared_at + 1.0

    region(scenario)


def test_age_is_not_underestimated_when_readers_fail(region):
    # A follower calls the store up to a second after the readers' last reply; rows in
    # the answer may have been written that early.
    async def scenario(store, readers, followers):
        now = asyncio.get_running_loop().time
        for reader in readers:
            reader.suspend()
        declared_at = now()
        store.declare_version(2)
        states = [f.state_sync.cluster_state for f in followers]
        await wait_until(lambda: all(b.newest_version("m") == 2 for b in states))
        for follower in followers:
            assert ages(follower)[2] >= now() - declared_at

    region(scenario)


def test_age_is_not_underestimated_when_readers_are_unresponsive(region):
    # Guards against expired weights: a reader whose response is overdue reports that it
    # lacks nothing, and its followers count the age of the next rows from that reply.
    async def scenario(store, readers, followers):
        now = asyncio.get_running_loop().time
        for reader in readers:
            with_unresponsive_store(reader)
        declared_at = now()
        store.declare_version(2)
        states = [f.state_sync.cluster_state for f in followers]
        await wait_until(lambda: all(b.newest_version("m") == 2 for b in states))
        for follower in followers:
            assert ages(follower)[2] >= now() - declared_at

    region(scenario)


def test_rows_read_again_by_follower_are_not_new(region):
    # The store returns known rows as new ones, and without times: a version that was
    # declared long ago would count as new again.
    async def scenario(store, readers, followers):
        store.declare_version(2)
        follower = followers[0].state_sync
        await wait_until(lambda: follower.cluster_state.newest_version("m") == 2)
        await asyncio.sleep(2.5 * region_readers.POLL_INTERVAL_SECONDS)
        now = asyncio.get_running_loop().time()
        follower.cluster_state._versions["m"][-1].declaration_time_known = False
        follower.cluster_state._versions["m"][-1].allowed_from = now - 7.0
        follower.operator_watch._needs_full_read = True
        await follower.operator_watch.step()
        assert follower.cluster_state._versions["m"][-1].allowed_from == now - 7.0

    region(scenario)


def test_covered_entry_is_not_cut_off(region):
    # Otherwise it would reply 503 to unknown requests, and poll five times a second.
    async def scenario(store, readers, followers):
        follower = followers[0].state_sync
        follower.operator_watch._failures = 1
        assert not follower._is_cut_off()
        await asyncio.sleep(1.3)
        now = asyncio.get_running_loop().time()
        assert now - follower.cluster_state.complete_until < 1.5

    region(scenario)


def test_terminating_entry_starts_no_call(region, monkeypatch):
    # The reply to a poll arrived after the shutdown, and started a call that never
    # terminated.
    async def ends_late(gossip, address, table):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return None

    async def scenario(store, readers, followers):
        follower = followers[0]
        monkeypatch.setattr(type(follower.state_sync.gossip), "poll_reader", ends_late)
        await asyncio.sleep(2 * region_readers.POLL_INTERVAL_SECONDS)
        assert follower.state_sync.readers.covered
        follower.suspend()
        await asyncio.gather(*follower.tasks, return_exceptions=True)
        follower.state_sync.readers.readers.record_not_following(readers[0].vm)
        follower.state_sync.readers.readers.record_not_following(readers[1].vm)
        await asyncio.sleep(0.05)
        assert follower.state_sync.readers._watch_task is None

    region(scenario)
