"""Detects requests and prompt parts that crash servers, and has them refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from attrs import define, field, frozen
from wasabideck_base.events import Events
from wasabideck_policy.backends import Backend
from wasabideck_policy.part_quarantine import PartQuarantine
from wasabideck_policy.quarantine import Quarantine, fingerprint

from .exchange import Exchange
from .http_heads import RequestHead, ResponseHead, ends_with_connection

__all__ = ["CrashDetector"]

# A running server accepts a connection within two round trips, 12 ms between regions.
# The machine of a crashed one refuses it as quickly.
PROBE_TIMEOUT_SECONDS = 0.3
# A part that crashes servers does so as soon as the answer begins: requests that a
# server has answered for longer are no evidence against their parts.
MAX_ANSWERING_SECONDS = 0.5
# Maximum requests and parts that are named in the log line of a crash.
MAX_LOGGED = 16


@frozen
class _Victim:
    """A request that was in progress at a server when its connection failed.

    The request itself is not kept: its body may be large, and many may fail at once.

    Attributes
    ----------
    known_rounds : dict of str to int
        Rounds of crashes that were known for its prompt's parts when it was sent.
    answering_for : float or None
        Seconds since the server's first event; None if it has sent none.
    """

    head: RequestHead
    fingerprint: str
    known_rounds: dict[str, int]
    answering_for: float | None

    @property
    def may_be_cause(self) -> bool:
        """Whether one of its prompt's parts may have crashed the server."""
        return self.answering_for is None or self.answering_for < MAX_ANSWERING_SECONDS


@define
class _Probe:
    """A server that is being probed, and the requests that wait for the outcome.

    Attributes
    ----------
    failed : list of _Victim
        Requests whose connections failed.
    completed : list of _Victim
        Requests whose streams ended with their connections.
    """

    failed: list[_Victim] = field(factory=list)
    completed: list[_Victim] = field(factory=list)


@define
class CrashDetector:
    """Detects servers that crashed during a request, and counts the crashes.

    A request that crashes any server that runs it is retried through any entry, and
    each time makes a server unavailable for seconds, with everything that runs there.
    So is any request that shares a part of its prompt, if that part is the cause. A
    broken connection alone proves nothing: responses get lost and links fail. A server
    whose port is closed immediately afterwards has terminated. All other requests that
    ran there are counted too, which is why a single crash has no consequence.

    Attributes
    ----------
    quarantine : Quarantine
        Crashes by request; the entries share them by gossip.
    parts : PartQuarantine
        Crashes by part of the prompts, shared in the same way.
    on_evidence : callable
        Called with the parts of which there is new evidence.
    wall_clock : callable
        Returns the wall time. The clocks of the entries agree to within seconds, and
        crashes count for minutes.
    """

    quarantine: Quarantine
    events: Events
    wall_clock: Callable[[], float]
    parts: PartQuarantine = field(factory=PartQuarantine)
    on_evidence: Callable[[Iterable[str]], None] = lambda parts: None
    _probing: dict[str, _Probe] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Whether a request, or a part of its prompt, has crashed too many servers."""
        now = self.wall_clock()
        shared_parts = exchange.req.head.shared_parts
        return self.parts.is_quarantined(
            shared_parts, now
        ) or self._request_is_quarantined(exchange, now)

    def claim_probe(self, exchange: Exchange) -> bool:
        """Whether a request with a quarantined part may be sent to one server."""
        now = self.wall_clock()
        if self._request_is_quarantined(exchange, now):
            return False
        return self.parts.claim_probe(exchange.req.head.shared_parts, now)

    def record_sent(self, exchange: Exchange, backend: Backend) -> None:
        """Record which crashes precede the sending of a request to a server.

        Besides those that are known, these are the ones that this very request met: it
        is sent on before a probe has confirmed them.
        """
        shared_parts = exchange.req.head.shared_parts
        rounds = self.parts.known_rounds(shared_parts)
        for met in exchange.rounds_met:
            for part in shared_parts:
                rounds[part] = max(rounds.get(part, 0), met.get(part, 0) + 1)
        exchange.known_rounds[backend.server] = rounds

    def record_answered(
        self, exchange: Exchange, backend: Backend, head: ResponseHead, now: float
    ) -> None:
        """Record that a server's stream was complete: the prompt's parts are harmless.

        A stream that ends with its connection also looks complete if the server crashed
        just after it had begun to answer. Such a server is probed.
        """
        answering_for = exchange.answering_for(backend.server, now)
        if answering_for is None:
            return
        if answering_for >= MAX_ANSWERING_SECONDS or not ends_with_connection(
            head.headers
        ):
            self._record_sound(exchange.req.head)
            return
        if self.parts.suspects.keys() & exchange.req.head.shared_parts:
            completed = self._probe_once(backend).completed
            completed.append(_victim(exchange, backend, answering_for))

    def connection_failed(
        self, exchange: Exchange, backend: Backend, now: float
    ) -> None:
        """Probe a server whose connection failed during a request."""
        exchange.rounds_met.append(exchange.known_rounds.get(backend.server, {}))
        self.left_unresponsive(exchange, backend, now)

    def left_unresponsive(
        self, exchange: Exchange, backend: Backend, now: float
    ) -> None:
        """Probe a server that a request left because it sent no data.

        Unless the probe shows a crash, it is no crash that the request met.
        """
        answering_for = exchange.answering_for(backend.server, now)
        victim = _victim(exchange, backend, answering_for)
        self._probe_once(backend).failed.append(victim)

    def _request_is_quarantined(self, exchange: Exchange, now: float) -> bool:
        if not self.quarantine.crashes:
            return False
        explained = self.parts.explained_crashes(now)
        return self.quarantine.is_quarantined(_fingerprint(exchange), now, explained)

    def _probe_once(self, backend: Backend) -> _Probe:
        """Return the probe of a server, started now if there is none in progress."""
        probe = self._probing.get(backend.server)
        if probe is not None:
            return probe
        probe = self._probing[backend.server] = _Probe()
        task = asyncio.create_task(self._run_probe(backend, probe))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return probe

    async def _run_probe(self, backend: Backend, probe: _Probe) -> None:
        try:
            crashed = await _refuses_connections(backend.listed.address)
        finally:
            del self._probing[backend.server]
        if crashed:
            self._record_crash(backend, probe.failed + probe.completed)
            return
        for completed in probe.completed:
            self._record_sound(completed.head)

    def _record_sound(self, head: RequestHead) -> None:
        shared_parts = head.shared_parts
        if self.parts.record_sound(shared_parts):
            self.on_evidence(shared_parts)

    def _record_crash(self, backend: Backend, victims: list[_Victim]) -> None:
        self._log_crash(backend, victims)
        now = self.wall_clock()
        crash = f"{backend.server}/{backend.listed.started_at_ms}"
        for name in {victim.fingerprint for victim in victims}:
            self.quarantine.record_crash(name, crash, now)
        suspects = [victim for victim in victims if victim.may_be_cause]
        for victim in suspects:
            self._record_suspect(victim, crash, now)
        self.on_evidence(_shared_parts(suspects))

    def _record_suspect(self, victim: _Victim, crash: str, now: float) -> None:
        head = victim.head
        if not head.shared_parts:
            return
        self.parts.record_crash(
            crash, head.shared_parts, head.prompt_parts[-1], victim.known_rounds, now
        )

    def _log_crash(self, backend: Backend, victims: list[_Victim]) -> None:
        answering = [victim.answering_for for victim in victims]
        begun = [seconds for seconds in answering if seconds is not None]
        self.events.emit(
            "server.died",
            server=backend.server,
            requests=len(victims),
            ids=[v.head.request_id for v in victims[:MAX_LOGGED]],
            begun=len(begun),
            shortest=round(min(begun), 3) if begun else None,
            parts=sorted(_shared_parts(victims))[:MAX_LOGGED],
        )


def _victim(
    exchange: Exchange, backend: Backend, answering_for: float | None
) -> _Victim:
    known_rounds = exchange.known_rounds.get(backend.server, {})
    return _Victim(
        exchange.req.head, _fingerprint(exchange), known_rounds, answering_for
    )


def _shared_parts(victims: Iterable[_Victim]) -> set[str]:
    return {part for v in victims for part in v.head.shared_parts}


def _fingerprint(exchange: Exchange) -> str:
    req = exchange.req
    target = req.target.decode("latin-1")
    return fingerprint(exchange.organisation, exchange.service, target, req.body)


async def _refuses_connections(address: str) -> bool:
    """Whether a machine responds but nothing listens at the address."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        # Unresponsive or unreachable: the server may be cut off, and is not known to
        # have crashed.
        return False
    writer.close()
    return False
