"""Simulates entries that choose among engines whose reports arrive late.

The decisions are made by the product's own code; engines, links and callers are
models. Several seconds of load are simulated in a fraction of a second, so that a
changed policy can be compared with the previous one over many seeds before the real
programs are run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from itertools import count
from math import exp, inf, log, sqrt

from attrs import define, field, frozen
from wasabideck_agent.engine_reporter import (
    REMOTE_REPORT_EVERY,
    REPORT_INTERVAL_SECONDS,
)
from wasabideck_policy.backends import Backend, ListedServer, LoadedLayers
from wasabideck_policy.engine_report import MAJOR_CHANGE_REQUESTS, EngineReport
from wasabideck_policy.placement import Placement

from .engine_model import Draft, Engine, EngineCosts

__all__ = [
    "MODEL",
    "BurstModel",
    "BurstResult",
    "DraftKind",
    "EntryPolicy",
    "Phase",
    "simulate",
]

# Latency that an entry and the links to it and to an engine add to a first event.
NETWORK_SECONDS = 0.008
# Number of data centres over which servers, and entries, are distributed.
DATA_CENTRES = 3
# Interval at which an entry checks whether the streams of an engine that is about to
# swap can continue on other engines.
MIGRATION_CHECK_SECONDS = 0.05
# Minimum and maximum delay after which callers retry when an outage aborted their
# streams.
OUTAGE_RETRY_SECONDS = (0.3, 1.8)
MODEL = "drafter"


@frozen
class DraftKind:
    """A kind of draft: its arrival rate, its value and its mean size.

    Attributes
    ----------
    value, late_value : float
        Mean value of a response in time, and of a late one.
    target_seconds : float
        Time within which a first event must arrive.
    """

    arrivals_per_second: float
    value: float
    late_value: float
    target_seconds: float
    mean_prompt_tokens: float
    mean_output_tokens: float
    max_prompt_tokens: int = 3880
    max_output_tokens: int = 250


@frozen
class Phase:
    """A phase of a load: its request rate and the number of engines that serve.

    Attributes
    ----------
    starts_at : float
        When the phase starts, seconds.
    load_ratio : float
        Request rate as a fraction of the full rate.
    engines : int
        Number of engines that serve. With 0 engines all streams are aborted, and their
        callers retry.
    swap_delays : sequence of float
        When each engine stops for newer weights, seconds after the start of the phase.
    """

    starts_at: float
    load_ratio: float = 1.0
    engines: int = 7
    swap_delays: Sequence[float] = ()


@frozen
class BurstModel:
    """A fleet and its load.

    Attributes
    ----------
    max_event_interval_seconds : float
        Maximum interval between two events of a stream that counts as in time.
    caller_timeout_seconds : float
        Time after which a caller cancels a request that had no first event.
    report_interval_seconds : float
        Interval between an agent's reports on its engine to entries in its data
        centre. Other entries receive only every sixth report, as from a real agent,
        and each major change.
    weights_load_seconds : float
        Time that an engine takes to load newer weights.
    drain_seconds : float
        Time for which an engine that is about to swap continues its running requests,
        before they are continued on other engines.
    retry_delay_seconds : float
        Mean delay after which a caller retries a request that was refused.
    """

    kinds: Sequence[DraftKind]
    phases: Sequence[Phase]
    costs: EngineCosts = EngineCosts()
    entries: int = 10
    seconds: float = 20.0
    max_event_interval_seconds: float = 0.4
    caller_timeout_seconds: float = 3.2
    report_interval_seconds: float = REPORT_INTERVAL_SECONDS
    weights_load_seconds: float = 0.3
    drain_seconds: float = inf
    retry_delay_seconds: float = 1.0


@frozen
class BurstResult:
    """The outcome of one simulated load.

    Attributes
    ----------
    earned : float
        Value of the responses, as a fraction of the value of all requests.
    in_time, late, lost : float
        Fractions of the requests that were answered in time, answered late, and not
        answered.
    windows : tuple of float
        Fraction earned of the requests that arrived in each window of two seconds.
    """

    earned: float
    in_time: float
    late: float
    lost: float
    windows: tuple[float, ...]

    @property
    def worst(self) -> float:
        """Mean fraction earned in the two worst windows."""
        return sum(sorted(self.windows)[:2]) / 2


class EntryPolicy:
    """Decisions of one entry. A policy under test overrides the methods it needs.

    Parameters
    ----------
    model : BurstModel
        The simulated fleet.
    data_centre : str
        Data centre of the entry.
    """

    def __init__(self, model: BurstModel, data_centre: str):
        self.model = model
        self.data_centre = data_centre

    def record_arrival(self, draft: Draft, now: float) -> None:
        """Record that a request has arrived."""

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Placement:
        """Return the server for a request and its urgency there, or a time to wait."""
        raise NotImplementedError

    def record_first_event(self, draft: Draft, now: float) -> None:
        """Record that the first event of a stream has arrived."""

    def record_end(self, draft: Draft, now: float) -> None:
        """Record that a request got its complete response."""

    def record_cancellation(self, draft: Draft, now: float) -> None:
        """Record that a caller has disconnected."""


@define
class _Simulation:
    """State of one run of a model.

    Attributes
    ----------
    backends : list of list of Backend
        What each entry knows of each engine.
    drafts : list of Draft
        All requests that have arrived, once each.
    assignments : dict
        Entry and engine of each request that an engine has.
    timers : list
        A heap of pending actions: time, sequence number and function.
    engines_in_pass : set of int
        Engines that are in the middle of a pass.
    serving : int
        Number of engines that serve: those with the lowest indices.
    last_broadcasts : dict
        The newest report on each engine that was sent to all entries.
    """

    model: BurstModel
    rng: random.Random
    policies: list[EntryPolicy]
    engines: list[Engine]
    backends: list[list[Backend]]
    drafts: list[Draft] = field(factory=list)
    seen: set[Draft] = field(factory=set)
    assignments: dict[Draft, tuple[int, int]] = field(factory=dict)
    timers: list[tuple[float, int, Callable]] = field(factory=list)
    timer_numbers: count = field(factory=count)
    engines_in_pass: set[int] = field(factory=set)
    serving: int = 0
    last_broadcasts: dict[int, EngineReport] = field(factory=dict)

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.timers, (at, next(self.timer_numbers), action))

    # Callers

    def receive(self, draft: Draft, entry: int, now: float) -> None:
        if draft not in self.seen:
            self.seen.add(draft)
            self.drafts.append(draft)
        draft.attempts += 1
        self.policies[entry].record_arrival(draft, now)
        self.dispatch(draft, entry, now)

    def dispatch(self, draft: Draft, entry: int, now: float) -> None:
        policy = self.policies[entry]
        backends = self.backends[entry][: self.serving]
        placement = policy.choose(draft, backends, now, self.rng)
        if placement.backend is None and placement.ready_in is not None:
            # The request waits at the entry.
            self.schedule(
                now + placement.ready_in, lambda t: self.dispatch(draft, entry, t)
            )
            return
        if placement.backend is None:
            if draft.attempts == 1:
                delay = self.model.retry_delay_seconds * self.rng.uniform(0.7, 1.3)
                other = self.rng.randrange(self.model.entries)
                self.schedule(now + delay, lambda t: self.receive(draft, other, t))
            return
        engine = int(placement.backend.server)
        draft.urgency = placement.urgency
        placement.backend.add_request(now)
        placement.backend.unread_prompts.add(draft)
        self.assignments[draft] = (entry, engine)
        self.schedule(
            now + NETWORK_SECONDS / 2, lambda t: self.enqueue(draft, engine, t)
        )
        self.schedule(
            now + self.model.caller_timeout_seconds, lambda t: self.time_out(draft, t)
        )

    def time_out(self, draft: Draft, now: float) -> None:
        """Cancel a request whose caller has received no event within its timeout."""
        if draft.ended or draft.first_at is not None or draft not in self.assignments:
            return
        draft.cancelled_at = now
        entry = self.unassign(draft)
        self.policies[entry].record_cancellation(draft, now)

    def unassign(self, draft: Draft) -> int:
        """Remove a request from its engine, and return the entry that had sent it."""
        entry, engine = self.assignments.pop(draft)
        self.engines[engine].remove(draft)
        backend = self.backends[entry][engine]
        backend.in_progress -= 1
        backend.unread_prompts.discard(draft)
        return entry

    # Engines

    def enqueue(self, draft: Draft, engine: int, now: float) -> None:
        if self.assignments.get(draft) is None or self.assignments[draft][1] != engine:
            return
        self.engines[engine].enqueue(draft, now)
        self.begin_pass(engine, now)

    def begin_pass(self, index: int, now: float) -> None:
        engine = self.engines[index]
        if index in self.engines_in_pass:
            return
        if engine.swapping and not engine.batch:
            engine.swapping = False
            engine.loading_until = now + self.model.weights_load_seconds
            self.schedule(engine.loading_until, lambda t: self.begin_pass(index, t))
        seconds = engine.begin_pass(now)
        if seconds > 0:
            self.engines_in_pass.add(index)
            self.schedule(now + seconds, lambda t: self.end_pass(index, t))

    def end_pass(self, index: int, now: float) -> None:
        self.engines_in_pass.discard(index)
        engine = self.engines[index]
        without_event = [d for d in engine.batch if d.first_at is None]
        ended = engine.end_pass(now)
        for draft in without_event:
            if draft.first_at is not None:
                entry, _ = self.assignments[draft]
                backend = self.backends[entry][index]
                backend.unread_prompts.discard(draft)
                backend.apply_load(engine.load + len(ended), now)
                self.policies[entry].record_first_event(draft, now)
        for draft in ended:
            entry, _ = self.assignments.pop(draft)
            self.backends[entry][index].in_progress -= 1
            self.policies[entry].record_end(draft, now)
        self.begin_pass(index, now)

    def send_report(self, index: int, number: int, now: float) -> None:
        """Send an agent's report on its engine to the entries.

        Entries in its data centre receive each report. The others receive each major
        change, and otherwise only some of the reports.
        """
        at = now + self.model.report_interval_seconds
        self.schedule(at, lambda t: self.send_report(index, number + 1, t))
        engine = self.engines[index]
        serving = not engine.swapping and now >= engine.loading_until
        report = EngineReport(
            str(index),
            1,
            serving,
            len(engine.batch),
            len(engine.queue),
            newest_version=1,
        )
        last = self.last_broadcasts.get(index)
        is_major = last is None or last.serving != serving
        is_major = is_major or abs(last.load - report.load) >= MAJOR_CHANGE_REQUESTS
        to_all = is_major or number % REMOTE_REPORT_EVERY == 0
        if to_all:
            self.last_broadcasts[index] = report
        for entry in range(self.model.entries):
            if to_all or entry % DATA_CENTRES == index % DATA_CENTRES:
                self.backends[entry][index].apply_report(report, now)

    # Phases

    def begin_phase(self, phase: Phase, now: float) -> None:
        self.serving = phase.engines
        if not phase.engines:
            self.abort_all(now)
        for index, delay in enumerate(phase.swap_delays):
            self.schedule(now + delay, lambda t, i=index: self.begin_swap(i, t))

    def abort_all(self, now: float) -> None:
        """Abort all streams; each caller retries at an entry chosen at random."""
        for draft in list(self.assignments):
            self.unassign(draft)
            draft.first_at = None
            draft.written_tokens = 0
            draft.attempts = 1
            entry = self.rng.randrange(self.model.entries)
            retry_at = now + self.rng.uniform(*OUTAGE_RETRY_SECONDS)
            self.schedule(retry_at, lambda t, d=draft, e=entry: self.receive(d, e, t))

    def begin_swap(self, index: int, now: float) -> None:
        self.engines[index].swapping = True
        for entry in range(self.model.entries):
            backend = self.backends[entry][index]
            engine = self.engines[index]
            report = EngineReport(
                str(index),
                1,
                False,
                len(engine.batch),
                len(engine.queue),
                newest_version=1,
            )
            backend.apply_report(report, now)
        self.begin_pass(index, now)
        if self.model.drain_seconds < inf:
            at = now + self.model.drain_seconds
            self.schedule(at, lambda t: self.migrate_streams(index, t))

    def migrate_streams(self, index: int, now: float) -> None:
        """Continue requests of an engine that is about to swap on other engines."""
        if not self.engines[index].swapping:
            return
        for draft in list(self.engines[index].batch):
            entry, _ = self.assignments[draft]
            backends = self.backends[entry][: self.serving]
            placement = self.policies[entry].choose(draft, backends, now, self.rng)
            if placement.backend is None:
                continue
            self.unassign(draft)
            draft.prompt_tokens += draft.written_tokens
            self.dispatch(draft, entry, now)
        self.begin_pass(index, now)
        self.schedule(
            now + MIGRATION_CHECK_SECONDS, lambda t: self.migrate_streams(index, t)
        )


def simulate(
    model: BurstModel, make_policy: Callable[[BurstModel, str], EntryPolicy], seed: int
) -> BurstResult:
    """Simulate a load once and return its result."""
    rng = random.Random(seed)
    max_engines = max(phase.engines for phase in model.phases)
    loaded = (LoadedLayers(MODEL, 1, 0, 1),)

    def new_backends() -> list[Backend]:
        slots = model.costs.slots
        return [
            Backend(
                ListedServer(str(i), "", str(i), _data_centre(i), slots, loaded=loaded)
            )
            for i in range(max_engines)
        ]

    simulation = _Simulation(
        model,
        rng,
        [make_policy(model, _data_centre(i)) for i in range(model.entries)],
        [Engine(model.costs) for _ in range(max_engines)],
        [new_backends() for _ in range(model.entries)],
    )
    for index in range(max_engines):
        at = rng.uniform(0, model.report_interval_seconds)
        simulation.schedule(at, lambda t, i=index: simulation.send_report(i, i, t))
    for phase in model.phases:
        simulation.schedule(
            phase.starts_at, lambda t, p=phase: simulation.begin_phase(p, t)
        )
    _draw_arrivals(simulation, random.Random(seed + 1))
    while simulation.timers:
        at, _, action = heapq.heappop(simulation.timers)
        if at > model.seconds + 8.0:
            break
        action(at)
    return _score(model, simulation.drafts)


def _data_centre(index: int) -> str:
    return f"dc-{index % DATA_CENTRES}"


def _draw_arrivals(simulation: _Simulation, rng: random.Random) -> None:
    model = simulation.model
    weights = [rng.uniform(0.5, 1.5) for _ in range(model.entries)]
    starts = [phase.starts_at for phase in model.phases] + [model.seconds]
    for phase, until in zip(model.phases, starts[1:], strict=True):
        for kind in model.kinds:
            rate = kind.arrivals_per_second * phase.load_ratio
            at = phase.starts_at
            while rate > 0 and (at := at + rng.expovariate(rate)) < until:
                entry = rng.choices(range(model.entries), weights)[0]
                draft = _draw_draft(kind, at, rng)
                simulation.schedule(
                    at, lambda t, d=draft, e=entry: simulation.receive(d, e, t)
                )


def _draw_draft(kind: DraftKind, at: float, rng: random.Random) -> Draft:
    prompt = 40 + int(
        min(kind.max_prompt_tokens, _lognormal(kind.mean_prompt_tokens, 1.0, rng))
    )
    output = 1 + int(
        min(kind.max_output_tokens, _lognormal(kind.mean_output_tokens, 0.9, rng))
    )
    size = (prompt + 10 * output) / (
        40 + kind.mean_prompt_tokens + 10 * kind.mean_output_tokens
    )
    value_ratio = min(4.0, 0.3 + 0.7 * size)
    draft = Draft(at, kind.target_seconds, kind.value * value_ratio, prompt, output)
    return draft


def _lognormal(mean: float, variation: float, rng: random.Random) -> float:
    """Return a log-normal sample with a mean and a coefficient of variation."""
    sigma = sqrt(log(1 + variation * variation))
    return mean * exp(rng.gauss(-sigma * sigma / 2, sigma))


def _score(model: BurstModel, drafts: list[Draft]) -> BurstResult:
    windows: dict[int, list[float]] = {}
    total_value = earned = in_time = late = 0.0
    late_ratio = model.kinds[0].late_value / model.kinds[0].value
    for draft in drafts:
        credit = 0.0
        first_event_seconds = (
            inf if draft.first_at is None else draft.first_at - draft.arrived_at
        )
        if draft.ended:
            is_in_time = first_event_seconds + NETWORK_SECONDS <= draft.target_seconds
            is_in_time = (
                is_in_time
                and draft.longest_interval_seconds <= model.max_event_interval_seconds
            )
            credit = draft.value * (1.0 if is_in_time else late_ratio)
            in_time += is_in_time
            late += not is_in_time
        total_value += draft.value
        earned += credit
        window = windows.setdefault(int(draft.arrived_at / 2), [0.0, 0.0])
        window[0] += credit
        window[1] += draft.value
    request_count = max(len(drafts), 1)
    return BurstResult(
        earned / total_value,
        in_time / request_count,
        late / request_count,
        1 - (in_time + late) / request_count,
        tuple(round(e / total, 3) for _, (e, total) in sorted(windows.items())),
    )
