"""How soon a process that was cut off knows everything again once its path is back."""

import asyncio
import contextlib

import orjson
import pytest
from region_of_entries import ProcessStore, run_region, wait_until
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.gossip import PEER_BACKOFF_SECONDS, Gossip
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.vm_settings import DeploymentLimits

HOLD_SECONDS = DeploymentLimits().disturbance_hold_seconds
CUT_SECONDS = 8.0
SHORT_CUT_SECONDS = 0.6
# Declared this long before the path is back, as the last thing that an entry misses.
DECLARED_BEFORE_SECONDS = 0.2
# Time without data after which the store's client gives up a call, in addition to the
# time for which the store may hold the response.
IDLE_TIMEOUT_SECONDS = 1.5
SERVER = {"service": "s", "addr": "10.0.0.9:1", "state": "ready"}


class Paths:
    """Which entries are cut off from the store, and which from their peers."""

    def __init__(self):
        self.from_store, self.from_peers = set(), set()
        self.calls = []
        self.open_calls, self.idle = {}, {}
        self.calls_of_table = {}

    def cut(self, entry, idle_connections=0):
        """Cut an entry off: calls in progress and idle connections stay silent."""
        self.from_store.add(entry.vm)
        self.from_peers.add(entry.vm)
        entry.running.clear()
        for connection in self.open_calls.get(entry.vm, []):
            connection.set()
        self.idle[entry.vm] = idle_connections

    def takes_silent_connection(self, vm):
        """Whether a call is made on an idle connection that a cut made silent."""
        self.idle[vm] = self.idle.get(vm, 0) - 1
        return self.idle[vm] >= 0

    def restore(self, entry):
        self.from_store.discard(entry.vm)

    def restore_peers(self, entry):
        self.from_peers.discard(entry.vm)
        entry.running.set()


@pytest.fixture
def paths(monkeypatch):
    """Route the entries' calls to the store and to their peers over paths."""
    paths = Paths()
    follow, sync = ProcessStore.wait_for_changes, Gossip._sync

    async def wait_for_changes(self, table, after, wait):
        paths.calls.append((asyncio.get_running_loop().time(), self.vm, table, wait))
        silent = asyncio.Event()
        if paths.takes_silent_connection(self.vm) or self.vm in paths.from_store:
            silent.set()
        paths.open_calls.setdefault(self.vm, []).append(silent)
        paths.calls_of_table.setdefault((self.vm, table), []).append(silent)
        response = asyncio.ensure_future(follow(self, table, after, wait))
        try:
            async with asyncio.timeout(wait + IDLE_TIMEOUT_SECONDS):
                changes = await response
                if silent.is_set():
                    await asyncio.Event().wait()
                return changes
        except TimeoutError:
            raise PlatformUnavailable(table, "no data", False) from None
        finally:
            response.cancel()
            paths.open_calls[self.vm].remove(silent)

    async def _sync(self, address, req, timeout):
        if self.me.vm not in paths.from_peers:
            return await sync(self, address, req, timeout)
        await asyncio.sleep(timeout)
        self._peer_retry_at[address] = self.clock() + PEER_BACKOFF_SECONDS
        return None

    monkeypatch.setattr(ProcessStore, "wait_for_changes", wait_for_changes)
    monkeypatch.setattr(Gossip, "_sync", _sync)
    return paths


def put_server(store):
    store.put(DEPLOYMENT.servers_table, "i-1", orjson.dumps(SERVER))


def knows_server(entry):
    return "i-1" in entry.state_sync.cluster_state.backends.names()


def after_cut(paths, size, seconds=CUT_SECONDS, idle_connections=0, count=1):
    """Cut entries off for a while; return their times until current after that.

    Their peers stay away, so that only the store can tell them.
    """
    durations = []

    async def scenario(store, entries):
        await asyncio.sleep(2.0)
        cut = entries[:count]
        for entry in cut:
            paths.cut(entry, idle_connections)
        await asyncio.sleep(seconds - DECLARED_BEFORE_SECONDS)
        store.configure(2)
        put_server(store)
        await asyncio.sleep(DECLARED_BEFORE_SECONDS)
        for entry in cut:
            paths.restore(entry)
        with contextlib.suppress(TimeoutError):
            durations.append(
                await wait_until(
                    lambda: all(e.number == 2 for e in cut), 2 * HOLD_SECONDS
                )
            )
            rest = await wait_until(
                lambda: all(map(knows_server, cut)), 2 * HOLD_SECONDS
            )
            durations.append(durations[0] + rest)

    run_region(scenario, size, 60, 20, virtual_time=True)
    return [*durations, *[float("inf")] * (2 - len(durations))]


@pytest.mark.parametrize("size", [1, 4, 6])
def test_entry_is_current_in_time_after_a_cut(paths, size):
    # Guards against requests handled by an older configuration long after a cut: the
    # pending call's connection stays silent, and looks like one without changes.
    assert after_cut(paths, size)[0] < HOLD_SECONDS


@pytest.mark.parametrize("size", [1, 4, 6])
def test_server_list_is_current_in_time_after_a_cut(paths, size):
    # Guards against requests to servers that left the list during a cut.
    assert after_cut(paths, size)[1] < HOLD_SECONDS


def test_all_entries_of_a_large_region_are_current_in_time_after_a_cut(paths):
    # Guards against entries that all rely on each other and none on the store.
    assert max(after_cut(paths, 36, count=36)) < HOLD_SECONDS


@pytest.mark.parametrize("idle_connections", [0, 1, 2])
def test_entry_is_current_in_time_after_a_short_cut(paths, idle_connections):
    # Guards against a check that is due long after the end of a short cut, and against
    # idle connections that the cut made unresponsive.
    durations = after_cut(paths, 4, SHORT_CUT_SECONDS, idle_connections)
    assert max(durations) < HOLD_SECONDS


@pytest.mark.parametrize("size", [1, 4])
def test_entry_is_not_cut_off_for_long_after_an_outage(paths, size):
    # Guards against fast gossip, and refusals of unknown requests, until something
    # changes: the first call that the returned store takes is held by it.
    durations = []

    async def scenario(store, entries):
        await asyncio.sleep(2.0)
        store.refused.update(e.vm for e in entries)
        store.put("other", "row", b"")
        await wait_until(
            lambda: all(e.state_sync._is_cut_off() for e in entries), CUT_SECONDS
        )
        await asyncio.sleep(CUT_SECONDS)
        store.refused.clear()
        durations.append(
            await wait_until(
                lambda: not any(e.state_sync._is_cut_off() for e in entries),
                CUT_SECONDS,
            )
        )

    run_region(scenario, size, 60, 20, virtual_time=True)
    assert durations[0] < HOLD_SECONDS


def test_entry_counts_as_cut_off_while_its_connections_are_silent(paths):
    # Guards against slow gossip, and readers that cover others, during a cut.
    async def scenario(store, entries):
        await asyncio.sleep(2.0)
        paths.cut(entries[0])
        state_sync = entries[0].state_sync
        await wait_until(state_sync._is_cut_off, HOLD_SECONDS)
        assert state_sync._region_may_lag()
        assert state_sync.readers.position("op") is None
        assert not entries[1].state_sync._is_cut_off()

    run_region(scenario, 2, 60, 20, virtual_time=True)


def test_server_list_is_current_in_time_when_only_its_call_falls_silent(paths):
    # Guards against requests to servers that left the list, at an entry whose call for
    # the declarations is sound, so that nothing shows that the other one is not.
    async def scenario(store, entries):
        await asyncio.sleep(2.0)
        for call in paths.calls_of_table[entries[0].vm, DEPLOYMENT.servers_table]:
            call.set()
        put_server(store)
        await wait_until(lambda: knows_server(entries[0]), HOLD_SECONDS)

    run_region(scenario, 1, 60, 20, virtual_time=True)
