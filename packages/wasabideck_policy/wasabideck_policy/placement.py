"""Which server gets a request, how urgent it is there, and when none should."""

from __future__ import annotations

import random
from collections.abc import Sequence
from math import exp

from attrs import frozen

from .backends import MOST_SILENT_PART, Backend
from .engine_news import EngineNews, back_in

__all__ = ["Demand", "Place", "Urgency", "choose", "choose_near", "pressure"]

# Servers compared for a request. Ten entries with reports some hundred ms old would
# all pick the one best; a few drawn at random keep them apart.
DRAWN = 3
# What a server told fades with this time constant, as its requests end (seconds).
FADING_SECONDS = 2.0
# A server in another region must have this part of its slots more free.
FAR_PART = 0.08
# With this part of its slots taken, an engine has a place for a request at once.
OPEN_PART = 0.9
# With so much of its slots taken it is as good as full for what has to be in time: a
# slot is free every 0.1 s, and a request that waits for two of them is late.
EAGER_PART = 1.15
# A prompt that is not read yet counts as so many requests more. An engine reads prompts
# one after the other, 50 ms each, and writes nothing meanwhile: the first one to be
# back after an outage is empty, got 17 requests in 0.3 s, and all of them were late.
UNREAD_WEIGHT = 1.5
# With so many waiting, as a part of its slots, one more would wait past the 2 to 2.5 s
# after which callers leave: what is not sent ahead gets 1 to 2 places a second.
FULL_PART = 0.5
# A plain service works a queue off in so many rounds of its slots before deadlines.
PLAIN_QUEUE_PART = 3.0
# Shortly before a version is over, a server that has it may only get what begins at
# once: with this part of its slots taken there is no queue.
IDLE_PART = 0.8
# What one entry sent to a server since its agent last told counts as so many more for
# each other entry, where so few servers are open that all send to the same ones: they
# heard the same word. Where many are open, each draws others.
HERD_PART = 0.3
# A server near by with less than this part of its slots taken is good enough: no other
# one would begin the request sooner.
AT_HAND_PART = 0.75
# Servers near by that are looked at before all are (count).
PROBED = 6


class Urgency:
    """Classes of urgency at an engine, 0 is first and 9 last."""

    FRESH = 3
    LATE = 8


@frozen
class Demand:
    """What a request asks of a server.

    Attributes
    ----------
    model : str
        The model that must be loaded; empty for plain services.
    layers : int
        Layers of the model.
    least_version : int
        Version of the weights that may run it at least; 0 for any.
    soon_version : int
        Version that will be the least one before a queue is worked off.
    held_version : int
        Version that will be the least one before whatever waits at a server is begun
        or given up: an older one only serves beside an agent that knows of it, and
        takes the older weights out in time.
    late : bool
        Whether the goal cannot be kept any more.
    begun : bool
        Whether its caller has a part of the answer already.
    ahead : bool
        Whether it is among those that are sent ahead of the others.
    entries : int
        Entries that choose among the same servers.
    near_entries : int
        Those of them in this entry's own data centre.
    """

    data_centre: str
    model: str = ""
    layers: int = 0
    least_version: int = 0
    soon_version: int = 0
    held_version: int = 0
    late: bool = False
    begun: bool = False
    ahead: bool = True
    entries: int = 1
    near_entries: int = 1


@frozen
class Place:
    """The outcome of a choice.

    Attributes
    ----------
    backend : Backend or None
        The server, or None when there is none.
    urgency : int
        The request's class of urgency there.
    free : bool
        Whether it has a place for the request at once.
    full : bool
        Whether there are servers, all of them too full.
    back_in : float or None
        Seconds until a server can run it, when that is known.
    """

    backend: Backend | None
    urgency: int = Urgency.FRESH
    free: bool = True
    full: bool = False
    back_in: float | None = None


def pressure(backend: Backend, now: float, rivals: float = 0.0) -> float:
    """Requests on a server as far as this process can tell.

    All entries hear an agent's word at once. When most servers are full they all send
    to the one that said it is not, 52 requests in 0.2 s where 36 had room; it refused
    the rest, which had one try less, and what it took waited for seconds. So each takes
    the others to do as it does itself until the agent tells again.

    Parameters
    ----------
    rivals : float
        Requests that other entries send there for one of this entry.
    """
    age = max(0.0, now - backend.told_at)
    others = backend.others + backend.sent_since * rivals
    if others <= 0:
        return backend.in_progress
    return backend.in_progress + others * exp(-age / FADING_SECONDS)


def _rivals(entries: int, opened: int) -> float:
    """Requests that others send to a server for one of this entry.

    Each entry draws a few of the servers that are open. With many open ones hardly
    another one draws the same, with few all do.
    """
    return (entries - 1) * min(HERD_PART, DRAWN / max(opened, 1))


def _opened(backends: Sequence[Backend]) -> int:
    """How many servers have places by what they told."""
    return sum(
        b.in_progress + b.others < b.listed.slots * OPEN_PART
        and (b.news is None or b.news.serving)
        for b in backends
    )


def choose_near(
    near: Sequence[Backend],
    kept: Sequence[Backend],
    demand: Demand,
    now: float,
    rng: random.Random,
) -> Place | None:
    """A server near by that begins the request at once; None if none is at hand.

    Power of a few choices: at the target size a look at all servers for each request
    takes longer than a token, and one that is far off, over links that all share, has
    nothing that a free one near by has not.

    Parameters
    ----------
    near : sequence of Backend
        Servers in the entry's own data centre.
    kept : sequence of Backend
        Those of them that it has an idle connection to.
    """
    rivals = _rivals(demand.near_entries, len(near))
    drawn = rng.sample(kept, min(PROBED, len(kept)))
    drawn += rng.sample(near, min(PROBED, len(near)))
    found: list[Backend] = []
    for backend in drawn:
        if backend in found or not _at_hand(backend, demand, now, rivals):
            continue
        found.append(backend)
        if len(found) == DRAWN:
            break
    if not found:
        return None
    best = min(found, key=lambda b: _price(b, demand, now, rivals))
    return _placed(best, _taken(best, demand, now, rivals), demand)


def _at_hand(backend: Backend, demand: Demand, now: float, rivals: float) -> bool:
    if backend.full_until > now or backend.silent(now):
        return False
    if not _able(backend, demand, now, rivals):
        return False
    return _taken(backend, demand, now, rivals) < AT_HAND_PART


def choose(
    backends: Sequence[Backend], demand: Demand, now: float, rng: random.Random
) -> Place:
    """The least pressed of a few servers that can run the request."""
    rivals = _rivals(demand.entries, _opened(backends))
    able = [b for b in backends if _able(b, demand, now, rivals)]
    if not able:
        return Place(None, back_in=_back_in(backends, demand, now))
    able = _talking(_known(able, demand), now)
    free = [
        b for b in able if b.full_until <= now and not _full(b, demand, now, rivals)
    ]
    if not free:
        return Place(None, full=True)

    def price(backend: Backend) -> float:
        return _price(backend, demand, now, rivals)

    best = min(rng.sample(free, min(DRAWN, len(free))), key=price)
    if demand.model and _taken(best, demand, now, rivals) >= OPEN_PART:
        # Another of the free ones may have a place at once.
        best = min(free, key=price)
    return _placed(best, _taken(best, demand, now, rivals), demand)


def _placed(backend: Backend, taken: float, demand: Demand) -> Place:
    """The place of a request on a server with a part of its slots taken."""
    opened = taken < OPEN_PART
    in_time = taken < EAGER_PART and (demand.ahead or opened) and not demand.late
    urgent = demand.begun or in_time
    return Place(backend, Urgency.FRESH if urgent else Urgency.LATE, free=opened)


def _able(backend: Backend, demand: Demand, now: float, rivals: float) -> bool:
    if not demand.model:
        return True
    news = backend.fresh_news(now)
    if news is not None and not news.serving:
        return False
    held = backend.holds(demand.model, demand.layers, now)
    if held <= 0 or held < demand.least_version:
        return False
    if held < demand.held_version and not _attended(news, demand):
        return False
    if held >= demand.soon_version:
        return True
    return pressure(backend, now, rivals) < backend.listed.slots * IDLE_PART


def _attended(news: EngineNews | None, demand: Demand) -> bool:
    """Whether an agent beside the server knows how long its weights may be begun."""
    return news is not None and news.named >= demand.held_version


def _known(able: list[Backend], demand: Demand) -> list[Backend]:
    """Without servers far off whose agents never told this entry of them.

    An agent tells a few of the entries far off. What this one sees of other servers is
    its own requests only, so that they would always look the least pressed.
    """
    if not demand.model:
        return able
    known = [
        b
        for b in able
        if b.news is not None or b.listed.data_centre == demand.data_centre
    ]
    return known or able


def _talking(able: list[Backend], now: float) -> list[Backend]:
    """Those that are not silent; all of them when most are, or the rest is crushed.

    A server whose VM stands still, or is cut off, ends nothing and tells nothing: what
    it told of its load fades, requests are taken off it one by one as callers give up,
    and it soon looks the least pressed of all. It would draw most of what comes, and
    each request would wait there in vain for most of its caller's patience.
    """
    talking = [b for b in able if not b.silent(now)]
    return talking if len(talking) >= len(able) * (1 - MOST_SILENT_PART) else able


def _back_in(backends: Sequence[Backend], demand: Demand, now: float) -> float | None:
    told = ((b.fresh_news(now), now - b.news_at) for b in backends)
    known = [(news, age) for news, age in told if news is not None]
    # Nothing may wait for a server whose weights are soon over, also if it serves.
    newer = max(demand.least_version, demand.soon_version)
    return back_in(known, newer) if demand.model else None


def _full(backend: Backend, demand: Demand, now: float, rivals: float) -> bool:
    slots = backend.listed.slots
    part = FULL_PART if demand.model else PLAIN_QUEUE_PART
    return slots > 0 and pressure(backend, now, rivals) >= slots * (1 + part)


def _taken(backend: Backend, demand: Demand, now: float, rivals: float) -> float:
    """Part of its slots that is taken, prompts that it has to read first included."""
    taken = pressure(backend, now, rivals)
    if demand.model:
        taken += UNREAD_WEIGHT * len(backend.unread) * (1 + rivals)
    return taken / max(backend.listed.slots, 1)


def _price(backend: Backend, demand: Demand, now: float, rivals: float) -> float:
    price = _taken(backend, demand, now, rivals)
    news = backend.fresh_news(now)
    if news is not None:
        price *= max(1.0, news.pace)
    if backend.listed.cold_seconds > 0:
        price += FAR_PART
    return price + (FAR_PART if backend.listed.data_centre != demand.data_centre else 0)
