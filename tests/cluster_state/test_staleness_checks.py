"""Short calls that check the store while a process's knowledge is old."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from region_of_entries import run_region
from test_way_back import CUT_SECONDS, paths, put_server
from virtual_time import run_in_virtual_time
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.rows import HistoryLost, Row, RowChanges
from wasabideck_base.staleness_checks import (
    MIN_JITTER,
    CheckTimes,
    StalenessChecks,
)
from wasabideck_base.table_watch import (
    FIRST_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    TableWatch,
)
from wasabideck_base.vm_settings import DeploymentLimits

__all__ = ["paths"]

LIMITS = DeploymentLimits()
TIMES = CheckTimes.from_limits(LIMITS, LIMITS.configuration_deadline_seconds)
# Time of a store's response over a link that other traffic uses.
RESPONSE_SECONDS = 0.2
WINDOW_SECONDS = 0.1
MANY = 36


@pytest.mark.parametrize(("hold", "deadline"), [(3.0, 2.0), (3.0, 1.0), (1.5, 5.0)])
def test_times_add_up_to_less_than_the_hold(hold, deadline):
    # Guards against an entry that counts as undisturbed again before it is current.
    limits = DeploymentLimits(disturbance_hold_seconds=hold)
    times = CheckTimes.from_limits(limits, deadline)
    response_seconds = RESPONSE_SECONDS * hold / 3.0
    if hold > 2 * MAX_BACKOFF_SECONDS:
        assert times.seconds_until_current(response_seconds) < 0.9 * hold
    assert times.max_staleness + response_seconds < deadline


class Store:
    """Answers calls after a delay; long polls stay silent."""

    def __init__(self):
        self.calls, self.cancelled, self.sent = [], 0, 0
        self.delay, self.bytes_received = 0.0, 0
        self.rows, self.version = (), 1
        self.failure = None

    def received_bytes(self, table):
        return self.bytes_received

    async def read(self, table):
        return RowChanges(self.rows, self.version)

    async def wait_for_changes(self, table, after, wait):
        self.calls.append((asyncio.get_running_loop().time(), after, wait))
        try:
            if wait or self.delay is None:
                await asyncio.Event().wait()
            await asyncio.sleep(self.delay)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.failure is not None:
            raise self.failure
        newer = tuple(row for row in self.rows if row.version > after)
        self.sent += len(newer)
        return RowChanges(newer, self.version)

    @property
    def checks(self):
        return [at for at, after, wait in self.calls if wait == 0]


def run_checks(scenario):
    """Run a scenario beside a watch with a silent call, and its checks."""

    async def body():
        loop = asyncio.get_running_loop()
        store = Store()
        emitted = []
        events = Events("vm", HybridClock(), lambda: 0.0)
        events.listeners.append(lambda kind, fields: emitted.append(kind))
        rng = random.Random(1)
        watch = TableWatch(
            store,
            "op",
            lambda rows: None,
            lambda rows: None,
            lambda seconds: None,
            loop.time,
            events,
            rng,
        )
        process = SimpleNamespace(watch=watch, store=store, emitted=emitted)
        process.known_until = float("-inf")
        checks = StalenessChecks(
            watch,
            TIMES,
            lambda now: now - max(watch.complete_until, process.known_until),
            loop.time,
            rng,
        )
        tasks = [asyncio.create_task(t) for t in (watch.run(), checks.run())]
        await asyncio.sleep(0.01)
        await scenario(process)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_in_virtual_time(body())


def row(version):
    return Row("op", "config", b"{}", version)


def test_checks_in_calm_are_few():
    # Guards against calls to the store, each of which costs money.
    async def scenario(process):
        await asyncio.sleep(60.0)
        checks = process.store.checks
        assert 60.0 / TIMES.max_staleness - 1 <= len(checks)
        assert len(checks) <= 60.0 / (MIN_JITTER * TIMES.max_staleness)
        assert "watch.call-dropped" not in process.emitted

    run_checks(scenario)


def test_no_checks_while_peers_report_all():
    # Guards against checks by entries that lack nothing, by what their peers say.
    async def scenario(process):
        for _ in range(100):
            process.known_until = asyncio.get_running_loop().time()
            await asyncio.sleep(0.5)
        assert process.store.checks == []

    run_checks(scenario)


def test_first_check_is_made_in_time():
    # Guards against knowledge that is older than the bound although the store responds.
    async def scenario(process):
        # The first check shows whether the first read was current.
        await asyncio.sleep(TIMES.first_interval)
        oldest = 0.0
        for _ in range(2000):
            await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            oldest = max(oldest, now - process.watch.complete_until)
        assert oldest <= TIMES.max_staleness + 0.01

    run_checks(scenario)


def test_change_that_only_a_check_shows_replaces_the_pending_call():
    # Guards against a silent connection on which a process waits for further changes.
    async def scenario(process):
        process.store.rows, process.store.version = (row(2),), 2
        await asyncio.sleep(TIMES.max_staleness + 0.01)
        assert process.watch.newest == 2
        assert process.emitted.count("watch.call-dropped") == 1
        long_polls = [call for call in process.store.calls if call[2]]
        assert [after for _, after, _ in long_polls] == [1, 2]
        assert "store.lost" not in process.emitted

    run_checks(scenario)


def test_silent_connection_is_replaced_after_a_later_check():
    # Guards against a pending call that stays, as no single check has failed: the next
    # one outran a check that was made on an idle connection.
    async def scenario(process):
        process.store.delay = None
        while len(process.store.checks) < 1:
            await asyncio.sleep(0.01)
        process.store.delay = 0.0
        await asyncio.sleep(TIMES.first_interval + 0.01)
        assert len(process.store.checks) >= 2
        assert process.emitted.count("watch.call-dropped") == 1
        assert not process.watch.failing

    run_checks(scenario)


def test_checks_go_on_while_they_fail_at_a_bounded_pace():
    # Guards against both a store that is asked too often and a return noticed too late.
    async def scenario(process):
        process.store.delay = None
        await asyncio.sleep(60.0)
        assert process.watch.failing
        assert process.watch.position(asyncio.get_running_loop().time()) is None
        assert process.emitted.count("watch.unconfirmed") == 1
        checks = process.store.checks
        gaps = [b - a for a, b in zip(checks, checks[1:], strict=False)]
        assert max(gaps) <= TIMES.max_interval + 0.01
        assert min(gaps[3:]) >= MIN_JITTER * TIMES.max_interval - 0.01
        process.store.delay = 0.0
        await asyncio.sleep(TIMES.max_interval + 0.01)
        assert not process.watch.failing

    run_checks(scenario)


def test_checks_do_not_add_to_calls_that_fail_at_once():
    # Guards against twice as many calls to a store that is away for all.
    async def scenario(process):
        process.store.failure = PlatformUnavailable("op", "away", False)
        process.watch._pending_call.cancel()
        await asyncio.sleep(20.0)
        fewest = FIRST_BACKOFF_SECONDS * 0.6
        first = process.store.checks[0]
        settled = [at for at in process.store.checks if at > first + 10 * fewest]
        assert len(settled) <= 20.0 / (0.6 * MAX_BACKOFF_SECONDS)

    run_checks(scenario)


def test_slow_response_is_no_failure():
    # Guards against an entry on a full link that counts as cut off, and gossips faster.
    async def scenario(process):
        process.store.delay = TIMES.timeout - 0.01
        await asyncio.sleep(20.0)
        assert not process.watch.failing
        assert "watch.unconfirmed" not in process.emitted

    run_checks(scenario)


def test_nothing_is_transferred_again_while_data_arrives():
    # Guards against a large configuration that each check transfers once more over the
    # link that is transferring it.
    async def scenario(process):
        process.store.delay = 8.0
        while not process.store.checks:
            await asyncio.sleep(0.01)
        for _ in range(75):
            process.store.bytes_received += 10_000
            await asyncio.sleep(0.1)
        assert len(process.store.checks) == 1
        assert not process.watch.failing
        assert process.store.cancelled == 0

    run_checks(scenario)


def test_lost_history_in_a_check_leads_to_a_full_read():
    # Guards against a check that fails for good because the store has forgotten.
    async def scenario(process):
        process.store.failure = HistoryLost("op", 1)
        process.store.rows, process.store.version = (row(5),), 5
        await asyncio.sleep(TIMES.max_staleness + 0.05)
        assert process.watch.newest == 5
        assert not process.watch.failing

    run_checks(scenario)


def test_covered_followers_make_no_checks(paths):
    # Guards against calls by entries that rely on their region's readers.
    async def scenario(store, entries):
        await asyncio.sleep(3.0)
        followers = {e.vm for e in entries if e.state_sync.readers.covered}
        assert len(followers) == 4
        since = len(paths.calls)
        await asyncio.sleep(20.0)
        assert not [
            c for c in paths.calls[since:] if c[1] in followers and c[2] == "op"
        ]

    run_region(scenario, 6, 60, 20, virtual_time=True)


def most_in_window(calls, seconds, what):
    """Return the largest number of different things in a window of some seconds."""
    return max(
        len({what(later) for later in calls if 0 <= later[0] - call[0] < seconds})
        for call in calls
    )


@pytest.mark.parametrize("silent", [True, False])
def test_entries_of_a_large_region_do_not_call_all_at_once(paths, silent):
    # Guards against a store that all entries call at the same moment after its return.
    async def scenario(store, entries):
        await asyncio.sleep(3.0)
        if silent:
            for entry in entries:
                paths.cut(entry)
        else:
            store.refused.update(e.vm for e in entries)
        await asyncio.sleep(CUT_SECONDS)
        since = asyncio.get_running_loop().time() - CUT_SECONDS / 2
        for entry in entries:
            paths.restore(entry)
        store.refused.clear()
        put_server(store)
        await asyncio.sleep(2.0)
        calls = [call for call in paths.calls if call[0] >= since and call[2] == "op"]
        assert most_in_window(calls, WINDOW_SECONDS, lambda call: call[1]) <= MANY / 2
        # The longest backoff, and three more calls of each entry at its return.
        most = MANY / (0.6 * MAX_BACKOFF_SECONDS) + 3 * MANY
        assert most_in_window(calls, 1.0, id) <= most

    run_region(scenario, MANY, 60, 20, virtual_time=True)


def test_call_is_dropped_when_a_peer_answers_before_a_silent_check():
    # Guards against a pending call that stays on a silent connection after a short cut:
    # a peer's word makes the copy current before the check that was lost in the cut
    # times out.
    async def scenario(process):
        process.store.delay = None
        while not process.store.checks:
            await asyncio.sleep(0.01)
        await asyncio.sleep(2 * TIMES.first_interval)
        process.known_until = float("inf")
        await asyncio.sleep(TIMES.timeout)
        assert process.emitted.count("watch.call-dropped") == 1

    run_checks(scenario)


def test_each_table_is_checked_for_itself(paths):
    # Guards against a server list that is only confirmed together with declarations:
    # its call alone may be silent.
    async def scenario(store, entries):
        await asyncio.sleep(3.0)
        since = len(paths.calls)
        await asyncio.sleep(20.0)
        for table in (DEPLOYMENT.declarations_table, DEPLOYMENT.servers_table):
            checks = [c for c in paths.calls[since:] if c[2:] == (table, 0.0)]
            assert 20.0 / TIMES.max_staleness - 1 <= len(checks)
            assert len(checks) <= 20.0 / (MIN_JITTER * TIMES.max_staleness) + 1

    run_region(scenario, 1, 60, 20, virtual_time=True)


@pytest.mark.parametrize("delay", [0.5, 1.0, 1.47, 2.0, 5.0])
def test_checks_do_not_wait_for_each_other(delay):
    # Guards against a change that one slow response just misses, and that is known one
    # whole response later than the next one allows.
    async def scenario(process):
        process.store.delay = delay
        await asyncio.sleep(4 * delay + 2.0)
        oldest = 0.0
        for _ in range(2000):
            await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            oldest = max(oldest, now - process.watch.complete_until)
        assert oldest <= delay + TIMES.interval(delay) + 0.02
        assert oldest <= delay + LIMITS.configuration_deadline_seconds
        assert process.store.cancelled <= len(process.store.checks) // 10
        assert not process.watch.failing

    run_checks(scenario)


def test_checks_of_a_slow_store_are_bounded():
    # Guards against ever more connections to a store that responds ever later.
    async def scenario(process):
        process.store.delay = 12.0
        await asyncio.sleep(60.0)
        checks = process.store.checks
        waiting = max(
            len([at for at in checks if 0 <= end - at < 12.0]) for end in checks
        )
        assert waiting <= 12.0 / (MIN_JITTER * TIMES.max_interval) + 1

    run_checks(scenario)


@pytest.mark.parametrize("size", [400_000, 1_000_000])
def test_large_rows_are_not_transferred_many_times_at_once(size):
    # Guards against a configuration whose copies, one for each check that waits, fill
    # the link of a region and delay the first one.
    async def scenario(process):
        process.store.rows = (Row("op", "config", b"x" * size, 2),)
        process.store.version = 2
        await asyncio.sleep(4 * TIMES.max_staleness)
        process.store.delay = 1.5
        await asyncio.sleep(10.0)
        process.store.rows = (Row("op", "config", b"x" * size, 3),)
        process.store.version, before = 3, process.store.sent
        await asyncio.sleep(5.0)
        assert process.watch.newest == 3
        assert process.store.sent - before <= 2

    run_checks(scenario)
