"""Simulates entries that share evidence against prompt parts that crash servers.

The decisions are made by the product's own code; callers, servers and the links between
entries are models.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from itertools import count

from attrs import define, evolve, field, frozen
from wasabideck_policy.part_quarantine import PartQuarantine
from wasabideck_policy.suspect_parts import SuspectPart

__all__ = ["BadPart", "CrashResult", "CrashSeries", "Outage", "simulate_crashes"]

PUSH_FANOUT = 8
RELAY_SECONDS = 0.03
POLL_SECONDS = 1.0
SAMPLE_SECONDS = 0.25
NO_SERVER_RETRY_SECONDS = 0.25
ATTEMPTS = 2
STABLE_SECONDS = 3.0
# Crashes after which a part must be known to be bad.
KNOWN_BAD_CRASHES = 5
ROUTES = 4


@frozen
class BadPart:
    """Requests with a part that crashes each server that begins to answer them.

    Attributes
    ----------
    prompt : sequence of str
        Parts of the prompts without the last; ``*`` is a part that sound ones share.
    rate : float
        Requests per second during a wave.
    waves : sequence of tuple of float
        Start and end of each wave.
    """

    name: str
    prompt: Sequence[str]
    rate: float = 5.0
    waves: Sequence[tuple[float, float]] = ((8.0, 40.0),)
    bad_from: float = 0.0


@frozen
class Outage:
    """Crashes of another cause: each server crashes with this probability."""

    at: float
    ratio: float = 1.0


@frozen
class CrashSeries:
    """A fleet, its traffic and its faults.

    Attributes
    ----------
    suspect_seconds : float
        Time after its first event for which a request is a suspect of a crash.
    sound_at_end : bool
        Whether an answer refutes evidence when it ends, rather than when its request
        is no longer a suspect.
    unreachable : sequence of float
        Start and end of the time for which entry 0 has no links to the others.
    restarts : sequence of float
        When entry 0 loses its evidence.
    """

    entries: int = 10
    servers: int = 16
    slots: int = 12
    requests_per_second: float = 60.0
    rare_parts: int = 200
    bad: Sequence[BadPart] = ()
    outages: Sequence[Outage] = ()
    unreachable: Sequence[float] = (0.0, 0.0)
    restarts: Sequence[float] = ()
    suspect_seconds: float = 0.5
    sound_at_end: bool = True
    seconds: float = 40.0


@frozen
class CrashResult:
    """The outcome of one series.

    Attributes
    ----------
    crashes, missed : int
        Crashes by bad parts, and bad requests sent later than ``STABLE_SECONDS`` after
        the fifth crash of their part; the maximum over the parts.
    refused : float
        Fraction of sound requests refused as quarantined.
    begun : float
        Fraction of the sound requests that share a bad part's first part and began at
        the first attempt, from twice ``STABLE_SECONDS`` after its fifth or last crash.
    wrong_parts : int
        Number of sound parts that any entry quarantined.
    wrong_seconds : float
        Time during which any entry quarantined a sound part.
    wrong_at_end : int
        Sound parts that are still quarantined at the end.
    """

    crashes: int
    missed: int
    refused: float
    begun: float
    wrong_parts: int
    wrong_seconds: float
    wrong_at_end: int


@define(eq=False)
class _Request:
    name: str
    parts: tuple[str, ...]
    arrived_at: float
    attempts: int = 0
    began: bool = False
    refused: bool = False
    known_rounds: dict[str, int] = field(factory=dict)
    sent_at: float = 0.0
    first_at: float | None = None
    entry: int = 0


@define
class _Server:
    up: bool = True
    lives: int = 0
    batch: set[_Request] = field(factory=set)


@define
class _Simulation:
    series: CrashSeries
    rng: random.Random
    rules: list[PartQuarantine]
    servers: list[_Server]
    timers: list = field(factory=list)
    numbers: count = field(factory=count)
    requests: list[_Request] = field(factory=list)
    bad_from: dict[str, float] = field(factory=dict)
    crashes: dict[str, list[float]] = field(factory=dict)
    bad_sends: dict[str, list[float]] = field(factory=dict)
    wrong: Counter = field(factory=Counter)
    wrong_samples: int = 0

    def schedule(self, at: float, action: Callable, *args: object) -> None:
        heapq.heappush(self.timers, (at, next(self.numbers), partial(action, *args)))

    # Entries

    def receive(self, request: _Request, now: float) -> None:
        rule = self.rules[request.entry]
        free = [s for s in self.servers if s.up and len(s.batch) < self.series.slots]
        if rule.is_quarantined(request.parts, now) and not (
            free and rule.claim_probe(request.parts, now)
        ):
            request.refused = True
            return
        if not free:
            if now - request.arrived_at < STABLE_SECONDS:
                self.schedule(now + NO_SERVER_RETRY_SECONDS, self.receive, request)
            return
        server = self.rng.choice(free)
        request.attempts += 1
        request.known_rounds = rule.known_rounds(request.parts)
        request.first_at = None
        server.batch.add(request)
        bad = self.bad_parts(request, now)
        start, end = self.series.unreachable
        for part in bad if request.entry or not start <= now < end else ():
            self.bad_sends[part].append(now)
        begins_at = now + self.rng.uniform(0.1, 0.3)
        self.schedule(begins_at, self.begin, request, server, server.lives)

    def record_sound(self, request: _Request, now: float) -> None:
        if self.rules[request.entry].record_sound(request.parts):
            self.push(request.entry, request.parts, now)

    def push(self, entry: int, parts: Iterable[str], now: float) -> None:
        """Send the evidence against some parts to a few entries."""
        suspects = self.rules[entry].suspects
        found = {
            p: evolve(suspects[p], crashes=dict(suspects[p].crashes))
            for p in parts
            if p in suspects
        }
        others = [e for e in range(len(self.rules)) if e != entry]
        for other in self.rng.sample(others, min(PUSH_FANOUT, len(others))):
            if self.linked(entry, other, now):
                at = now + self.rng.uniform(0.01, 0.02)
                self.schedule(at, self.merge, other, found)

    def merge(self, entry: int, found: dict[str, SuspectPart], now: float) -> None:
        rule = self.rules[entry]
        new = [p for p, suspect in found.items() if rule.merge(p, suspect, now)]
        if new:
            self.schedule(now + RELAY_SECONDS, self.push, entry, new)

    def poll(self, entry: int, now: float) -> None:
        self.schedule(now + POLL_SECONDS, self.poll, entry)
        other = self.rng.choice([e for e in range(len(self.rules)) if e != entry])
        if not self.linked(entry, other, now):
            return
        for part, suspect in self.rules[other].suspects.items():
            self.rules[entry].merge(part, suspect, now)

    def linked(self, entry: int, other: int, now: float) -> bool:
        start, end = self.series.unreachable
        return 0 not in (entry, other) or not start <= now < end

    def restart(self, now: float) -> None:
        self.rules[0] = PartQuarantine()

    # Servers

    def bad_parts(self, request: _Request, now: float) -> list[str]:
        return [p for p in request.parts if now >= self.bad_from.get(p, now + 1)]

    def begin(self, request: _Request, server: _Server, life: int, now: float) -> None:
        if server.lives != life:
            return
        if bad := self.bad_parts(request, now):
            for part in bad:
                self.crashes[part].append(now)
            self.crash(server, now)
            return
        request.first_at = now
        request.began = request.began or request.attempts == 1
        ends_at = now + self.rng.uniform(0.5, 1.5)
        self.schedule(ends_at, self.end, request, server, life)
        if not self.series.sound_at_end:
            sound_at = now + self.series.suspect_seconds
            self.schedule(min(sound_at, ends_at), self.pass_on, request, server, life)

    def pass_on(
        self, request: _Request, server: _Server, life: int, now: float
    ) -> None:
        if server.lives == life:
            self.record_sound(request, now)

    def end(self, request: _Request, server: _Server, life: int, now: float) -> None:
        if server.lives != life:
            return
        server.batch.discard(request)
        self.record_sound(request, now)

    def crash(self, server: _Server, now: float) -> None:
        crash = f"{self.servers.index(server)}/{server.lives}"
        interrupted = sorted(server.batch, key=lambda request: request.name)
        server.up = False
        server.lives += 1
        server.batch = set()
        self.schedule(now + self.rng.uniform(2, 4), self.start, server)
        for request in interrupted:
            first_at = now if request.first_at is None else request.first_at
            is_suspect = now - first_at <= self.series.suspect_seconds
            is_suspect = is_suspect and (request.first_at is None or now > first_at)
            at = now + self.rng.uniform(0.002, 0.01)
            self.schedule(at, self.interrupt, request, crash, is_suspect)

    def interrupt(
        self, request: _Request, crash: str, is_suspect: bool, now: float
    ) -> None:
        rule = self.rules[request.entry]
        if is_suspect:
            rule.record_crash(
                crash, request.parts, request.name, request.known_rounds, now
            )
            self.push(request.entry, request.parts, now)
        if request.attempts < ATTEMPTS:
            self.schedule(now + 0.01, self.receive, request)

    def start(self, server: _Server, now: float) -> None:
        server.up = True

    def fail(self, ratio: float, now: float) -> None:
        for server in self.servers:
            if server.up and self.rng.random() < ratio:
                self.crash(server, now)

    # Measurement

    def sample(self, now: float) -> None:
        self.schedule(now + SAMPLE_SECONDS, self.sample)
        quarantined = set().union(*(rule.quarantined(now) for rule in self.rules))
        wrong = quarantined - self.bad_from.keys()
        self.wrong.update(wrong)
        self.wrong_samples += bool(wrong)


def simulate_crashes(series: CrashSeries, seed: int) -> CrashResult:
    """Simulate a series once and return its result."""
    simulation = _Simulation(
        series,
        random.Random(seed),
        [PartQuarantine() for _ in range(series.entries)],
        [_Server() for _ in range(series.servers)],
    )
    _draw_arrivals(simulation, random.Random(seed + 1))
    for outage in series.outages:
        simulation.schedule(outage.at, simulation.fail, outage.ratio)
    for at in series.restarts:
        simulation.schedule(at, simulation.restart)
    for entry in range(series.entries):
        at = simulation.rng.uniform(0, POLL_SECONDS)
        simulation.schedule(at, simulation.poll, entry)
    simulation.schedule(0.0, simulation.sample)
    while simulation.timers[0][0] < series.seconds:
        at, _, action = heapq.heappop(simulation.timers)
        action(at)
    return _score(simulation)


def _draw_arrivals(simulation: _Simulation, rng: random.Random) -> None:
    series = simulation.series
    numbers = count()

    def add(at: float, parts: tuple[str, ...]) -> None:
        request = _Request(f"r{next(numbers)}", parts, at)
        request.entry = rng.randrange(series.entries)
        simulation.requests.append(request)
        simulation.schedule(at, simulation.receive, request)

    def draw_middle(route: int) -> str:
        kind = rng.random()
        if kind < 0.5:
            return f"common-{route}-{rng.randrange(3)}"
        if kind < 0.8:
            return f"some-{route}-{rng.randrange(20)}"
        return f"rare-{route}-{rng.randrange(series.rare_parts)}"

    at = 0.0
    while (at := at + rng.expovariate(series.requests_per_second)) < series.seconds:
        route = rng.randrange(ROUTES)
        middle = {draw_middle(route) for _ in range(rng.choice((1, 2)))}
        add(at, (f"first-{route}", *sorted(middle)))
    for bad in series.bad:
        simulation.bad_from[bad.name] = bad.bad_from
        simulation.crashes[bad.name] = []
        simulation.bad_sends[bad.name] = []
        for start, end in bad.waves:
            at = start
            while (at := at + rng.expovariate(bad.rate)) < end:
                add(at, tuple(draw_middle(0) if p == "*" else p for p in bad.prompt))


def _score(simulation: _Simulation) -> CrashResult:
    missed = [0]
    begun = [1.0]
    for bad in simulation.series.bad:
        crashes = simulation.crashes[bad.name]
        if not crashes:
            continue
        known_at = crashes[:KNOWN_BAD_CRASHES][-1]
        if len(crashes) >= KNOWN_BAD_CRASHES:
            limit = known_at + STABLE_SECONDS
            missed.append(sum(at > limit for at in simulation.bad_sends[bad.name]))
        # Requests of the last seconds may not have begun yet.
        sharing = [
            r.began
            for r in simulation.requests
            if known_at + 2 * STABLE_SECONDS < r.arrived_at < bad.waves[-1][1] - 1
            and r.parts[0] == bad.prompt[0]
            and not simulation.bad_from.keys() & set(r.parts)
        ]
        if len(sharing) >= 20:
            begun.append(sum(sharing) / len(sharing))
    sound = [
        r for r in simulation.requests if not simulation.bad_from.keys() & set(r.parts)
    ]
    at_end = set().union(
        *(r.quarantined(simulation.series.seconds) for r in simulation.rules)
    )
    return CrashResult(
        max((len(c) for c in simulation.crashes.values()), default=0),
        max(missed),
        sum(r.refused for r in sound) / len(sound),
        min(begun),
        len(simulation.wrong),
        simulation.wrong_samples * SAMPLE_SECONDS,
        len(at_end - simulation.bad_from.keys()),
    )
