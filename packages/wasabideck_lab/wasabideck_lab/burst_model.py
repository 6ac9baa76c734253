"""Entries that choose among engines with late news, played in a model.

Everything that decides is the product's own; engines, links and callers are models.
A load of seconds takes a fraction of one, so that a change of policy is compared with
the former one over many seeds before the real programs are run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from itertools import count
from math import exp, inf, log, sqrt

from attrs import define, field, frozen
from wasabideck_agent.news_loop import FAR_EVERY, LOOK_SECONDS
from wasabideck_policy.backends import Backend, Listed, Loaded
from wasabideck_policy.engine_news import BIG_CHANGE, EngineNews
from wasabideck_policy.placement import Place

from .engine_model import Draft, Engine, EngineCosts

__all__ = ["MODEL", "BurstModel", "Chooser", "Kind", "Phase", "Result", "play"]

# What an entry and the links to it and to an engine add to a first event (seconds).
WAY_SECONDS = 0.008
# Servers, and entries, stand in so many data centres.
DATA_CENTRES = 3
# An entry looks so often whether streams can leave an engine that stops (seconds).
MOVE_SECONDS = 0.05
# Callers whose streams an outage cut come back after so long (seconds).
RETURN_SECONDS = (0.3, 1.8)
MODEL = "drafter"


@frozen
class Kind:
    """A kind of draft: how often it comes, what it is worth, and its mean size."""

    per_second: float
    worth: float
    late_worth: float
    goal: float
    prompt: float
    tokens: float
    most_prompt: int = 3880
    most_tokens: int = 250


@frozen
class Phase:
    """From a moment on: a part of the full load, and the engines that serve.

    Attributes
    ----------
    engines : int
        With none of them all streams are cut, and their callers come once more.
    swaps : sequence of float
        When each engine stops for newer weights, seconds after the phase's beginning.
    """

    at: float
    load: float = 1.0
    engines: int = 7
    swaps: Sequence[float] = ()


@frozen
class BurstModel:
    """A fleet and its load.

    Attributes
    ----------
    look_seconds : float
        How often an agent tells entries near by of its engine; others hear each
        fourth word, and each big change.
    drain_seconds : float
        How long an engine that stops works on what it has, before it goes on elsewhere.
    retry_after : float
        After how long callers that were refused come once more.
    """

    kinds: Sequence[Kind]
    phases: Sequence[Phase]
    costs: EngineCosts = EngineCosts()
    entries: int = 10
    seconds: float = 20.0
    pause_goal: float = 0.4
    patience: float = 3.2
    look_seconds: float = LOOK_SECONDS
    load_seconds: float = 0.3
    drain_seconds: float = inf
    retry_after: float = 1.0


@frozen
class Result:
    """What a load earned, of what it was worth.

    Attributes
    ----------
    windows : tuple of float
        Part earned in each two seconds of arrivals.
    """

    earned: float
    in_time: float
    late: float
    lost: float
    windows: tuple[float, ...]

    @property
    def worst(self) -> float:
        """Mean of the two worst windows."""
        return sum(sorted(self.windows)[:2]) / 2


class Chooser:
    """One entry's decisions; a policy under test overrides what it changes.

    Parameters
    ----------
    model : BurstModel
        The fleet that it works in.
    data_centre : str
        Where the entry stands.
    """

    def __init__(self, model: BurstModel, data_centre: str):
        self.model = model
        self.data_centre = data_centre

    def arrive(self, draft: Draft, now: float) -> None:
        """Take in that a request has arrived."""

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """Where it goes, and how urgent it is there; it may wait here first."""
        raise NotImplementedError

    def first_event(self, draft: Draft, now: float) -> None:
        """Take in that a stream's first event has come."""

    def end(self, draft: Draft, now: float) -> None:
        """Take in that a request was answered whole."""

    def gave_up(self, draft: Draft, now: float) -> None:
        """Take in that a caller has left."""


@define
class _Fleet:
    model: BurstModel
    rng: random.Random
    choosers: list[Chooser]
    engines: list[Engine]
    backends: list[list[Backend]]
    drafts: list[Draft] = field(factory=list)
    known: set[Draft] = field(factory=set)
    at: dict[Draft, tuple[int, int]] = field(factory=dict)
    events: list[tuple[float, int, Callable]] = field(factory=list)
    order: count = field(factory=count)
    passing: set[int] = field(factory=set)
    serving: int = 0
    told: dict[int, EngineNews] = field(factory=dict)

    def later(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at, next(self.order), action))

    # Callers

    def arrive(self, draft: Draft, entry: int, now: float) -> None:
        if draft not in self.known:
            self.known.add(draft)
            self.drafts.append(draft)
        draft.tries += 1
        self.choosers[entry].arrive(draft, now)
        self.place(draft, entry, now)

    def place(self, draft: Draft, entry: int, now: float) -> None:
        chooser = self.choosers[entry]
        known = self.backends[entry][: self.serving]
        place = chooser.choose(draft, known, now, self.rng)
        if place.backend is None and place.back_in is not None:
            # It waits at the entry.
            self.later(now + place.back_in, lambda t: self.place(draft, entry, t))
            return
        if place.backend is None:
            if draft.tries == 1:
                pause = self.model.retry_after * self.rng.uniform(0.7, 1.3)
                other = self.rng.randrange(self.model.entries)
                self.later(now + pause, lambda t: self.arrive(draft, other, t))
            return
        engine = int(place.backend.server)
        draft.urgency = place.urgency
        place.backend.begin(now)
        place.backend.unread.add(draft)
        self.at[draft] = (entry, engine)
        self.later(now + WAY_SECONDS / 2, lambda t: self.enter(draft, engine, t))
        self.later(now + self.model.patience, lambda t: self.leave(draft, t))

    def leave(self, draft: Draft, now: float) -> None:
        """A caller that has seen nothing for its whole patience gives up."""
        if draft.ended or draft.first_at is not None or draft not in self.at:
            return
        draft.left_at = now
        entry = self.take_off(draft)
        self.choosers[entry].gave_up(draft, now)

    def take_off(self, draft: Draft) -> int:
        """Take a request off its engine; the entry that had sent it."""
        entry, engine = self.at.pop(draft)
        self.engines[engine].drop(draft)
        backend = self.backends[entry][engine]
        backend.in_progress -= 1
        backend.unread.discard(draft)
        return entry

    # Engines

    def enter(self, draft: Draft, engine: int, now: float) -> None:
        if self.at.get(draft) is None or self.at[draft][1] != engine:
            return
        self.engines[engine].enter(draft, now)
        self.step(engine, now)

    def step(self, index: int, now: float) -> None:
        engine = self.engines[index]
        if index in self.passing:
            return
        if engine.swapping and not engine.batch:
            engine.swapping = False
            engine.loading_until = now + self.model.load_seconds
            self.later(engine.loading_until, lambda t: self.step(index, t))
        seconds = engine.begin_pass(now)
        if seconds > 0:
            self.passing.add(index)
            self.later(now + seconds, lambda t: self.passed(index, t))

    def passed(self, index: int, now: float) -> None:
        self.passing.discard(index)
        engine = self.engines[index]
        begun = [d for d in engine.batch if d.first_at is None]
        ended = engine.end_pass(now)
        for draft in begun:
            if draft.first_at is not None:
                entry, _ = self.at[draft]
                backend = self.backends[entry][index]
                backend.unread.discard(draft)
                backend.hear_load(engine.pressed + len(ended), now)
                self.choosers[entry].first_event(draft, now)
        for draft in ended:
            entry, _ = self.at.pop(draft)
            self.backends[entry][index].in_progress -= 1
            self.choosers[entry].end(draft, now)
        self.step(index, now)

    def tell(self, index: int, looks: int, now: float) -> None:
        """An agent's word on its engine: near by always, the others now and then."""
        at = now + self.model.look_seconds
        self.later(at, lambda t: self.tell(index, looks + 1, t))
        engine = self.engines[index]
        serving = not engine.swapping and now >= engine.loading_until
        news = EngineNews(
            str(index), 1, serving, len(engine.batch), len(engine.queue), named=1
        )
        last = self.told.get(index)
        big = last is None or last.serving != serving
        big = big or abs(last.pressed - news.pressed) >= BIG_CHANGE
        everyone = big or looks % FAR_EVERY == 0
        if everyone:
            self.told[index] = news
        for entry in range(self.model.entries):
            if everyone or entry % DATA_CENTRES == index % DATA_CENTRES:
                self.backends[entry][index].hear(news, now)

    # Phases

    def enter_phase(self, phase: Phase, now: float) -> None:
        self.serving = phase.engines
        if not phase.engines:
            self.cut_all(now)
        for index, after in enumerate(phase.swaps):
            self.later(now + after, lambda t, i=index: self.swap(i, t))

    def cut_all(self, now: float) -> None:
        """End all streams midway; each caller comes again at some other entry."""
        for draft in list(self.at):
            self.take_off(draft)
            draft.first_at = None
            draft.written = 0
            draft.tries = 1
            entry = self.rng.randrange(self.model.entries)
            back = now + self.rng.uniform(*RETURN_SECONDS)
            self.later(back, lambda t, d=draft, e=entry: self.arrive(d, e, t))

    def swap(self, index: int, now: float) -> None:
        self.engines[index].swapping = True
        for entry in range(self.model.entries):
            last = self.backends[entry][index]
            engine = self.engines[index]
            news = EngineNews(
                str(index), 1, False, len(engine.batch), len(engine.queue), named=1
            )
            last.hear(news, now)
        self.step(index, now)
        if self.model.drain_seconds < inf:
            at = now + self.model.drain_seconds
            self.later(at, lambda t: self.move_away(index, t))

    def move_away(self, index: int, now: float) -> None:
        """Continue on other engines what an engine that stops has not ended."""
        if not self.engines[index].swapping:
            return
        for draft in list(self.engines[index].batch):
            entry, _ = self.at[draft]
            known = self.backends[entry][: self.serving]
            place = self.choosers[entry].choose(draft, known, now, self.rng)
            if place.backend is None:
                continue
            self.take_off(draft)
            draft.prompt += draft.written
            self.place(draft, entry, now)
        self.step(index, now)
        self.later(now + MOVE_SECONDS, lambda t: self.move_away(index, t))


def play(
    model: BurstModel, chooser: Callable[[BurstModel, str], Chooser], seed: int
) -> Result:
    """Play a load once."""
    rng = random.Random(seed)
    most = max(phase.engines for phase in model.phases)
    loaded = (Loaded(MODEL, 1, 0, 1),)

    def known() -> list[Backend]:
        slots = model.costs.slots
        return [
            Backend(Listed(str(i), "", str(i), _place(i), slots, loaded=loaded))
            for i in range(most)
        ]

    fleet = _Fleet(
        model,
        rng,
        [chooser(model, _place(i)) for i in range(model.entries)],
        [Engine(model.costs) for _ in range(most)],
        [known() for _ in range(model.entries)],
    )
    for index in range(most):
        at = rng.uniform(0, model.look_seconds)
        fleet.later(at, lambda t, i=index: fleet.tell(i, i, t))
    for phase in model.phases:
        fleet.later(phase.at, lambda t, p=phase: fleet.enter_phase(p, t))
    _draw_arrivals(fleet, random.Random(seed + 1))
    while fleet.events:
        at, _, action = heapq.heappop(fleet.events)
        if at > model.seconds + 8.0:
            break
        action(at)
    return _earned(model, fleet.drafts)


def _place(index: int) -> str:
    return f"dc-{index % DATA_CENTRES}"


def _draw_arrivals(fleet: _Fleet, rng: random.Random) -> None:
    model = fleet.model
    weights = [rng.uniform(0.5, 1.5) for _ in range(model.entries)]
    starts = [phase.at for phase in model.phases] + [model.seconds]
    for phase, until in zip(model.phases, starts[1:], strict=True):
        for kind in model.kinds:
            rate = kind.per_second * phase.load
            at = phase.at
            while rate > 0 and (at := at + rng.expovariate(rate)) < until:
                entry = rng.choices(range(model.entries), weights)[0]
                draft = _draw_draft(kind, at, rng)
                fleet.later(at, lambda t, d=draft, e=entry: fleet.arrive(d, e, t))


def _draw_draft(kind: Kind, at: float, rng: random.Random) -> Draft:
    prompt = 40 + int(min(kind.most_prompt, _lognormal(kind.prompt, 1.0, rng)))
    tokens = 1 + int(min(kind.most_tokens, _lognormal(kind.tokens, 0.9, rng)))
    size = (prompt + 10 * tokens) / (40 + kind.prompt + 10 * kind.tokens)
    worth = min(4.0, 0.3 + 0.7 * size)
    draft = Draft(at, kind.goal, kind.worth * worth, prompt, tokens)
    return draft


def _lognormal(mean: float, spread: float, rng: random.Random) -> float:
    sigma = sqrt(log(1 + spread * spread))
    return mean * exp(rng.gauss(-sigma * sigma / 2, sigma))


def _earned(model: BurstModel, drafts: list[Draft]) -> Result:
    windows: dict[int, list[float]] = {}
    owed = earned = in_time = late = 0.0
    part = model.kinds[0].late_worth / model.kinds[0].worth
    for draft in drafts:
        credit = 0.0
        first = inf if draft.first_at is None else draft.first_at - draft.arrived
        if draft.ended:
            good = first + WAY_SECONDS <= draft.goal
            good = good and draft.longest_pause <= model.pause_goal
            credit = draft.worth * (1.0 if good else part)
            in_time += good
            late += not good
        owed += draft.worth
        earned += credit
        window = windows.setdefault(int(draft.arrived / 2), [0.0, 0.0])
        window[0] += credit
        window[1] += draft.worth
    asked = max(len(drafts), 1)
    return Result(
        earned / owed,
        in_time / asked,
        late / asked,
        1 - (in_time + late) / asked,
        tuple(round(e / o, 3) for _, (e, o) in sorted(windows.items())),
    )
