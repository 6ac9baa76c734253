"""Placement of requests: the server that gets a request, and its urgency there."""

from __future__ import annotations

import random
from collections.abc import Sequence
from math import exp

from attrs import frozen

from .backends import MAX_UNRESPONSIVE_RATIO, Backend
from .engine_report import EngineReport, seconds_until_ready

__all__ = [
    "Requirements",
    "Placement",
    "Urgency",
    "choose_server",
    "choose_local_server",
    "estimated_load",
]

# Number of randomly drawn servers that are compared for a request. Ten entries whose
# reports are some hundred milliseconds old would all choose the same best server;
# comparing a random sample spreads their requests.
SAMPLED_SERVERS = 3
# Time constant (seconds) with which a reported load decays, since the requests that
# it counted end.
LOAD_DECAY_SECONDS = 2.0
# A server in another region is chosen only if the free fraction of its slots is
# larger by this much.
REMOTE_COST_RATIO = 0.08
# Below this utilisation an engine has a free slot for a request.
FREE_SLOT_RATIO = 0.9
# From this utilisation on, an engine counts as full for requests that must be in time:
# a slot becomes free every 0.1 s, and a request that waits for two of them is late.
MAX_IN_TIME_RATIO = 1.15
# Number of additional requests that a prompt counts for while it is unread. An engine
# reads prompts one after the other, 50 ms each, and writes nothing meanwhile. The first
# engine to return after an outage was empty, received 17 requests in 0.3 s, and all of
# them were late.
UNREAD_PROMPT_REQUESTS = 1.5
# Queue length, as a fraction of the slots, from which an engine counts as full. One
# more request would wait past the 2 to 2.5 s after which callers disconnect: requests
# that are not sent ahead get only 1 to 2 slots a second.
MAX_QUEUE_RATIO = 0.5
# Queue length, as a multiple of the slots, that a plain service can process before the
# deadlines of its requests.
MAX_PLAIN_QUEUE_RATIO = 3.0
# Shortly before a version expires, a server with that version may only get requests
# that start immediately. Below this utilisation a server has no queue.
NO_QUEUE_RATIO = 0.8
# Requests that each other entry is assumed to have sent to a server for every request
# that this entry sent since the agent's last report. Applies where so few servers have
# capacity that all entries send to the same ones, as they received the same report.
# With many available servers, the entries draw different ones.
MAX_COMPETING_RATIO = 0.3
# A local server below this utilisation is good enough: no other server would start the
# request sooner.
MAX_LOCAL_RATIO = 0.75
# Maximum number of local servers, and of those among them with an idle connection, that
# are checked before all servers are considered.
LOCAL_PROBES = 6


class Urgency:
    """Urgency classes of an engine's queue; 0 is served first and 9 last."""

    IN_TIME = 3
    LATE = 8


@frozen
class Requirements:
    """Requirements of a request on a server.

    Attributes
    ----------
    model : str
        The model that must be loaded; empty for plain services.
    layers : int
        Number of layers of the model.
    min_version : int
        Minimum version of the weights that may run it; 0 for any.
    min_queued_version : int
        Minimum version by the time a queue has been processed.
    min_unattended_version : int
        Minimum version by the time every request that waits at a server has started or
        has been cancelled. A server with an older version is eligible only beside an
        agent that knows this version, and that unloads the older weights in time.
    late : bool
        Whether the latency goal can no longer be met.
    started : bool
        Whether its caller already has a part of the response.
    sent_ahead : bool
        Whether it belongs to the share of requests that is sent ahead of the others.
    entries : int
        Number of entries that choose among the same servers.
    local_entries : int
        Number of those entries in this entry's own data centre.
    """

    data_centre: str
    model: str = ""
    layers: int = 0
    min_version: int = 0
    min_queued_version: int = 0
    min_unattended_version: int = 0
    late: bool = False
    started: bool = False
    sent_ahead: bool = True
    entries: int = 1
    local_entries: int = 1


@frozen
class Placement:
    """The outcome of a choice.

    Attributes
    ----------
    backend : Backend or None
        The chosen server, or None if there is none.
    urgency : int
        The request's urgency class at that server.
    has_free_slot : bool
        Whether the server has a free slot for the request.
    all_full : bool
        Whether there are eligible servers, but all of them are too full.
    ready_in : float or None
        Seconds until a server can run the request; None if unknown.
    """

    backend: Backend | None
    urgency: int = Urgency.IN_TIME
    has_free_slot: bool = True
    all_full: bool = False
    ready_in: float | None = None


def estimated_load(
    backend: Backend, now: float, competing_requests: float = 0.0
) -> float:
    """Return this process's estimate of the number of requests on a server.

    All entries receive an agent's report at the same time. When most servers are full,
    all entries send to the one that reported capacity: 52 requests arrived in 0.2 s
    where 36 fitted. The server refused the rest, which cost each one attempt, and
    the accepted ones waited for seconds. Therefore each entry assumes that the other
    entries send as it does itself, until the agent's next report.

    Parameters
    ----------
    competing_requests : float
        Requests that other entries send there for each request of this entry.
    """
    age = max(0.0, now - backend.load_reported_at)
    others = backend.other_requests + backend.sent_since_report * competing_requests
    if others <= 0:
        return backend.in_progress
    return backend.in_progress + others * exp(-age / LOAD_DECAY_SECONDS)


def _competing_requests(entries: int, available: int) -> float:
    """Return how many requests others send to a server for each one of this entry.

    Each entry draws a few of the available servers. With many available servers hardly
    any other entry draws the same one; with few of them all entries do.
    """
    return (entries - 1) * min(MAX_COMPETING_RATIO, SAMPLED_SERVERS / max(available, 1))


def _count_available(backends: Sequence[Backend]) -> int:
    """Return how many servers have free slots according to their reports."""
    return sum(
        b.in_progress + b.other_requests < b.listed.slots * FREE_SLOT_RATIO
        and (b.report is None or b.report.serving)
        for b in backends
    )


def choose_local_server(
    local: Sequence[Backend],
    connected: Sequence[Backend],
    demand: Requirements,
    now: float,
    rng: random.Random,
) -> Placement | None:
    """Return a local server that starts the request immediately, or None.

    This is the power of a few choices. In a deployment of the target size, checking all
    servers for each request takes longer than generating a token, and a remote server,
    behind links that all share, offers nothing that a free local one doesn't.

    Parameters
    ----------
    local : sequence of Backend
        Servers in the entry's own data centre.
    connected : sequence of Backend
        Local servers to which the entry has an idle connection.
    """
    competing = _competing_requests(demand.local_entries, len(local))
    drawn = rng.sample(connected, min(LOCAL_PROBES, len(connected)))
    drawn += rng.sample(local, min(LOCAL_PROBES, len(local)))
    found: list[Backend] = []
    for backend in drawn:
        if backend in found or not _starts_at_once(backend, demand, now, competing):
            continue
        found.append(backend)
        if len(found) == SAMPLED_SERVERS:
            break
    if not found:
        return None
    best = min(found, key=lambda b: _cost(b, demand, now, competing))
    return _place_at(best, _utilisation(best, demand, now, competing), demand)


def _starts_at_once(
    backend: Backend, demand: Requirements, now: float, competing: float
) -> bool:
    if backend.full_until > now or backend.is_unresponsive(now):
        return False
    if not _is_eligible(backend, demand, now, competing):
        return False
    return _utilisation(backend, demand, now, competing) < MAX_LOCAL_RATIO


def choose_server(
    backends: Sequence[Backend], demand: Requirements, now: float, rng: random.Random
) -> Placement:
    """Return the least loaded of a few random servers that can run the request."""
    competing = _competing_requests(demand.entries, _count_available(backends))
    eligible = [b for b in backends if _is_eligible(b, demand, now, competing)]
    if not eligible:
        return Placement(None, ready_in=_seconds_until_ready(backends, demand, now))
    eligible = _without_unresponsive(_without_unreported(eligible, demand), now)
    free = [
        b
        for b in eligible
        if b.full_until <= now and not _is_full(b, demand, now, competing)
    ]
    if not free:
        return Placement(None, all_full=True)

    def cost(backend: Backend) -> float:
        return _cost(backend, demand, now, competing)

    best = min(rng.sample(free, min(SAMPLED_SERVERS, len(free))), key=cost)
    if demand.model and _utilisation(best, demand, now, competing) >= FREE_SLOT_RATIO:
        # None of the drawn servers has a free slot, but another one may have.
        best = min(free, key=cost)
    return _place_at(best, _utilisation(best, demand, now, competing), demand)


def _place_at(backend: Backend, utilisation: float, demand: Requirements) -> Placement:
    """Return the placement of a request on a server with this utilisation."""
    has_slot = utilisation < FREE_SLOT_RATIO
    in_time = (
        utilisation < MAX_IN_TIME_RATIO
        and (demand.sent_ahead or has_slot)
        and not demand.late
    )
    urgent = demand.started or in_time
    return Placement(
        backend, Urgency.IN_TIME if urgent else Urgency.LATE, has_free_slot=has_slot
    )


def _is_eligible(
    backend: Backend, demand: Requirements, now: float, competing: float
) -> bool:
    if not demand.model:
        return True
    report = backend.recent_report(now)
    if report is not None and not report.serving:
        return False
    version = backend.loaded_version(demand.model, demand.layers, now)
    if version <= 0 or version < demand.min_version:
        return False
    if version < demand.min_unattended_version and not _agent_knows(report, demand):
        return False
    if version >= demand.min_queued_version:
        return True
    return (
        estimated_load(backend, now, competing) < backend.listed.slots * NO_QUEUE_RATIO
    )


def _agent_knows(report: EngineReport | None, demand: Requirements) -> bool:
    """Whether the server's agent knows until when its weights may start requests."""
    return report is not None and report.newest_version >= demand.min_unattended_version


def _without_unreported(eligible: list[Backend], demand: Requirements) -> list[Backend]:
    """Filter out remote servers whose agents never reported to this entry.

    An agent reports only to a few of the remote entries. Of other remote servers this
    entry knows only its own requests, so they would always seem to be the least loaded.
    If no other server is eligible, all of them are returned.
    """
    if not demand.model:
        return eligible
    reported = [
        b
        for b in eligible
        if b.report is not None or b.listed.data_centre == demand.data_centre
    ]
    return reported or eligible


def _without_unresponsive(servers: list[Backend], now: float) -> list[Backend]:
    """Filter out unresponsive servers, unless most of them are unresponsive.

    Otherwise the few remaining servers would be overloaded.

    A server whose VM is suspended or disconnected ends no requests and sends no
    reports. Its last reported load decays, requests are taken off it one by one as
    callers cancel them, and it soon seems to be the least loaded server. It would
    attract most new requests, and each would wait in vain for most of its caller's
    timeout.
    """
    rest = [b for b in servers if not b.is_unresponsive(now)]
    return rest if len(rest) >= len(servers) * (1 - MAX_UNRESPONSIVE_RATIO) else servers


def _seconds_until_ready(
    backends: Sequence[Backend], demand: Requirements, now: float
) -> float | None:
    reports = ((b.recent_report(now), now - b.reported_at) for b in backends)
    recent = [(report, age) for report, age in reports if report is not None]
    # No request may wait for a server whose weights expire soon, even if it serves.
    newer = max(demand.min_version, demand.min_queued_version)
    return seconds_until_ready(recent, newer) if demand.model else None


def _is_full(
    backend: Backend, demand: Requirements, now: float, competing: float
) -> bool:
    slots = backend.listed.slots
    queue_ratio = MAX_QUEUE_RATIO if demand.model else MAX_PLAIN_QUEUE_RATIO
    return slots > 0 and estimated_load(backend, now, competing) >= slots * (
        1 + queue_ratio
    )


def _utilisation(
    backend: Backend, demand: Requirements, now: float, competing: float
) -> float:
    """Return the load in relation to the slots; unread prompts count as more."""
    load = estimated_load(backend, now, competing)
    if demand.model:
        load += UNREAD_PROMPT_REQUESTS * len(backend.unread_prompts) * (1 + competing)
    return load / max(backend.listed.slots, 1)


def _cost(
    backend: Backend, demand: Requirements, now: float, competing: float
) -> float:
    cost = _utilisation(backend, demand, now, competing)
    report = backend.recent_report(now)
    if report is not None:
        cost *= max(1.0, report.slowdown)
    if backend.listed.cold_seconds > 0:
        cost += REMOTE_COST_RATIO
    return cost + (
        REMOTE_COST_RATIO if backend.listed.data_centre != demand.data_centre else 0
    )
