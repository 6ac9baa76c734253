"""One request's way: admitted, sent to a server, answered whole or refused."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from functools import partial

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_policy.backends import Backend
from wasabideck_policy.beliefs import Beliefs
from wasabideck_policy.configuration import Route
from wasabideck_policy.fresh_share import FreshShare
from wasabideck_policy.late_lane import LateLane
from wasabideck_policy.outliers import Outliers
from wasabideck_policy.placement import Demand, Place, Urgency, choose
from wasabideck_policy.retry_share import RetryShare

from .caller_connection import CallerConnection
from .crash_watch import CrashWatch
from .delivery import Listening, ServerFailed, deliver, head_of, write_whole
from .exchange import Exchange
from .messages import AnswerHead, CallerRequest, Sending, Wire
from .recall import Recalled, Sent, Underway
from .refusals import (
    AllFull,
    CallerLeft,
    ConfigurationUnknown,
    KeyUnknown,
    NeverSent,
    NoRoute,
    NoServer,
    OutcomeUnknown,
    Quarantined,
    Refusal,
    ServersRefused,
    TimeUp,
)
from .server_connection import Answer, AnswerBroken, ServerConnection
from .server_pool import ServerPool, Unreachable

__all__ = ["Bounds", "Forwarder"]

# A server that refused as full is passed over for so long: about a pass of an
# engine's batch, after which places may be free again (seconds).
FULL_SECONDS = 0.12
# One that did not run what it was sent for another reason (restarted, reloading).
CHANGED_SECONDS = 0.4
# A request waits here for a server that is said to be back within so long: refused, it
# would come back after the same time, and might be refused once more. Callers leave a
# stream that shows nothing for 2 to 2.5 s; longer waits are for nobody (seconds).
LONGEST_WAIT = 1.2
# A process that starts waits so long for its first configuration before it refuses, and
# looks for it so often (seconds).
STARTING_SECONDS = 0.5
STARTING_LOOK_SECONDS = 0.02
# Servers that cannot be reached at all, and were sent nothing, do not count among those
# that a request may be sent to: behind a full link the next one is often as far away,
# and a stream that has begun would end there. So many are passed over at the most.
MOST_UNREACHABLE = 3
# A late request looks so often whether it has a turn (seconds).
TURN_SECONDS = 0.05
# It waits for one for this part of the time after which its caller leaves a stream that
# shows nothing; the rest is for the server.
TURN_PART = 0.6
# A begun stream from a data centre that is silent altogether waits for this part of its
# caller's patience: a link that is full is free again within a second or two, and at
# another server behind it the stream would wait as long.
WAY_PART = 0.75
# Callers wait for a stream's next event for so many of its longest pauses and of its
# goal, and so long at the least (seconds).
PATIENT_PAUSES = 8
PATIENT_GOALS = 4
PATIENT_SECONDS = 2.0
# Whoever has less than this part of the time that callers of a route have at most has
# asked before. Their patience differs by up to a seventh.
FIRST_TRY_PART = 0.8
# What is kept of the deadline for the server's own work on a request that waited.
WORK_SECONDS = 1.0
# A little before its goal a request that has not been sent cannot be in time any more:
# the first event takes a pass of the batch and the prompt (seconds).
FIRST_EVENT_SECONDS = 0.12
# What waits at servers is looked at so often: twenty times a second cost nothing that
# could be measured, and what is late by so much is still taken back in time (seconds).
LOOK_SECONDS = 0.05
# What may be begun too late is sent only where a new connection is there so soon: a
# close that takes it back has the same way, and a fifth of a second for it (seconds).
WAY_SECONDS = 0.15
# What is left of a deadline is told a little short, as the message still travels.
TRAVEL_SECONDS = 0.002


@define
class Bounds:
    """Figures of the deployment that decisions need.

    Attributes
    ----------
    retry_ratio, retry_slack, retry_window : float
        Repeats that one request earns, and that all entries may make beside that
        in a window of so many seconds.
    version_seconds : float
        How long after a version's name requests are sent to older weights.
    begin_seconds : float
        How long after it a server may begin them there.
    queue_seconds : float
        How long after it they may have to wait in a server's queue.
    full_seconds : float
        How long after it they are sent to servers where they wait.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    version_seconds: float
    begin_seconds: float
    queue_seconds: float
    full_seconds: float


@define
class Forwarder:
    """Answers requests by sending them to backend servers, one hop."""

    beliefs: Beliefs
    pool: ServerPool
    wire: Wire
    bounds: Bounds
    data_centre: str
    clock: Callable[[], float]
    rng: random.Random
    events: Events
    crashes: CrashWatch
    outliers: Outliers = field(factory=Outliers)
    in_progress: int = 0
    _shares: dict[str, RetryShare] = field(factory=dict)
    _fresh: dict[str, FreshShare] = field(factory=dict)
    _news: asyncio.Event = field(factory=asyncio.Event)
    _late: LateLane = field(factory=LateLane)
    _patience: dict[str, float] = field(factory=dict)
    _underway: Underway = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin with nothing sent."""
        self._underway = Underway(self.beliefs)

    def wake(self) -> None:
        """Wake requests that wait for a server: something is known anew."""
        self._news.set()
        self._news = asyncio.Event()

    def set_bounds(self, bounds: Bounds) -> None:
        """Take changed figures in."""
        self.bounds = bounds
        self._shares.clear()

    async def keep_taking_back(self) -> None:
        """Take requests off servers that they should not be on any more, for ever."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            now = self.clock()
            self._underway.take_back(self.bounds.begin_seconds, now)
            self._underway.move_off(now)

    async def serve(self, req: CallerRequest, caller: CallerConnection) -> None:
        """Answer one request on its connection."""
        self.in_progress += 1
        exchange = None
        try:
            await self._be_ready()
            exchange = self._admit(req, self.clock())
            await self._within_time(exchange, caller)
        except Refusal as exc:
            await self._refuse(req, exchange, exc, caller)
        except asyncio.CancelledError:
            self._note(req, exchange, "left")
            raise
        finally:
            self.in_progress -= 1
            self._late.begun(exchange)

    async def _be_ready(self) -> None:
        """Wait for the first configuration and list of servers, but not for long.

        They come within a tenth of a second of the start. Callers that are there by
        then have mostly been turned away once and come no third time.
        """
        began = self.clock()
        while not self.beliefs.ready and self.clock() - began < STARTING_SECONDS:
            await asyncio.sleep(STARTING_LOOK_SECONDS)

    def _admit(self, req: CallerRequest, now: float) -> Exchange:
        """What is known of a request before it is sent; raises ``Refusal``."""
        cfg = self.beliefs.configuration
        if cfg is None or not self.beliefs.listed:
            raise ConfigurationUnknown("no configuration heard yet")
        route = cfg.route(req.head.host, req.path)
        # What a stale process does not know may have been added meanwhile.
        stale = self.beliefs.stale(now)
        if route is None:
            raise ConfigurationUnknown("route") if stale else NoRoute(req.path[:80])
        organisation, priority = "", route.priority
        if cfg.keys is not None and not route.public:
            holder = cfg.keys.get(req.head.key)
            if holder is None:
                raise ConfigurationUnknown("key") if stale else KeyUnknown("no holder")
            organisation = holder.name
            priority = route.priority if holder.priority is None else holder.priority
        service = route.draw_service(self.rng)
        deadline = req.arrived + req.head.deadline if req.head.deadline else None
        until = min(req.arrived + route.timeout, deadline or float("inf"))
        self._share(service).request(now)
        engine = cfg.services[service].engine if service in cfg.services else None
        exchange = Exchange(
            req, route, service, until, deadline, organisation, priority, engine
        )
        if self.crashes.refuses(exchange):
            raise Quarantined(service)
        if engine is not None:
            fresh = self._ahead(service)
            fresh.arrive(now)
            exchange.ahead = fresh.draw(self.rng)
            exchange.tried_before = self._has_tried_before(exchange)
        return exchange

    def _has_tried_before(self, exchange: Exchange) -> bool:
        """Whether a caller comes back, and its goal is over although it came now."""
        left = exchange.req.head.deadline
        if not left:
            return False
        route = exchange.route.name
        most = self._patience[route] = max(left, self._patience.get(route, 0.0))
        return left < FIRST_TRY_PART * most

    async def _within_time(self, exchange: Exchange, caller: CallerConnection) -> None:
        try:
            async with asyncio.timeout_at(exchange.until):
                await self._try_servers(exchange, caller)
        except TimeoutError:
            if caller.begun:
                self._break_off(exchange, caller, "TimeUp")
                return
            if exchange.uncertain:
                raise TimeUp(exchange.route.name) from None
            raise NeverSent(exchange.service) from None

    async def _try_servers(self, exchange: Exchange, caller: CallerConnection) -> None:
        while True:
            backend = await self._place(exchange)
            if (exchange.tried or exchange.waited) and caller.has_left():
                raise CallerLeft(exchange.service)
            try:
                await self._attempt(exchange, backend, caller)
            except (Unreachable, AnswerBroken, ServerFailed, Recalled) as exc:
                self._learn_failure(exchange, backend, exc)
            else:
                return
            if self._may_try_again(exchange, self.clock()):
                continue
            if caller.begun:
                self._break_off(exchange, caller, "OutcomeUnknown")
                return
            if exchange.uncertain:
                raise OutcomeUnknown(backend.server)
            raise ServersRefused(backend.server)

    async def _place(self, exchange: Exchange) -> Backend:
        """The next server, also one that is soon back; raises ``Refusal``."""
        began = self.clock()
        while True:
            now = self.clock()
            place = self._choose(exchange, now)
            if place.backend is not None and self._has_turn(exchange, place):
                exchange.urgency = place.urgency if exchange.engine else None
                return place.backend
            if place.backend is not None:
                if now - began >= TURN_PART * _patience_of(exchange.route):
                    raise self._no_place(exchange, Place(None, full=True))
                exchange.waited = True
                await asyncio.sleep(TURN_SECONDS)
                continue
            back_in = place.back_in
            limit = min(began + LONGEST_WAIT, exchange.until - WORK_SECONDS)
            soon = back_in is not None and now + back_in <= limit
            if place.full or not soon:
                raise self._no_place(exchange, place)
            exchange.waited = True
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(back_in):
                    await self._news.wait()

    def _has_turn(self, exchange: Exchange, place: Place) -> bool:
        """Whether a request may be sent now; late ones wait for each other."""
        if exchange.engine is None or place.urgency != Urgency.LATE:
            return True
        servers = self.beliefs.backends.of_service(exchange.service, self.clock())
        entries = self.beliefs.entries
        if not place.free or not self._late.has_room(len(servers), entries):
            return False
        self._late.sent(exchange)
        return True

    def _no_place(self, exchange: Exchange, place: Place) -> Refusal:
        if exchange.uncertain:
            return OutcomeUnknown("no other server")
        if place.full:
            return AllFull(exchange.service)
        return NoServer(exchange.service, place.back_in)

    def _choose(self, exchange: Exchange, now: float) -> Place:
        demand = self._demand(exchange, now)
        known = self.beliefs.backends.of_service(exchange.service, now)
        sound = self.outliers.sound((b.server for b in known), now)
        left = [
            b for b in known if b.server in sound and b.server not in exchange.tried
        ]
        return choose(left, demand, now, self.rng)

    def _demand(self, exchange: Exchange, now: float) -> Demand:
        if exchange.engine is None:
            return Demand(self.data_centre)
        model = exchange.engine.model
        beliefs, bounds = self.beliefs, self.bounds
        goal = exchange.route.goal
        in_time_until = exchange.req.arrived + goal - min(FIRST_EVENT_SECONDS, goal / 2)
        # A caller that has half of a stream leaves when it pauses for 2 s or more, and
        # all that was written for it is lost: behind what is late the rest of it would
        # wait longer at a loaded engine.
        begun = exchange.delivered.events > 0
        return Demand(
            self.data_centre,
            model,
            exchange.engine.layers,
            beliefs.least_version(model, bounds.version_seconds, now),
            beliefs.least_version(model, bounds.full_seconds, now),
            late=exchange.tried_before or now > in_time_until,
            begun=begun,
            ahead=exchange.ahead,
            entries=max(1, beliefs.entries),
        )

    async def _attempt(
        self, exchange: Exchange, backend: Backend, caller: CallerConnection
    ) -> None:
        """Send it to one server and pass the answer on."""
        exchange.tried.append(backend.server)
        exchange.replaceable = (
            exchange.route.idempotent and exchange.sent_to < exchange.route.attempts
        )
        backend.begin(self.clock())
        backend.unread.add(exchange)
        conn: ServerConnection | None = None
        answer = Answer(exchange.req.head.request, exchange.req.method == b"HEAD")
        may_move = partial(self._may_move, exchange)
        sent = exchange.engine and Sent(answer, backend, exchange.engine, may_move)
        try:
            way = self._way(exchange, backend)
            conn = await self.pool.take(backend, exchange.route.idempotent, way)
            # A connection takes up to 0.3 s to make, and word of a server that leaves
            # may come meanwhile: what reached it then came too late.
            if not self.beliefs.backends.may_get(backend.server, self.clock()):
                raise Unreachable(backend.server, "it left meanwhile")
            was_uncertain, exchange.uncertain = exchange.uncertain, True
            self._note_weights(exchange, backend)
            conn.send(self._message(exchange, backend), answer)
            if sent:
                self._underway.add(sent)
            way_silent = partial(self._way_silent, backend)
            way_patience = WAY_PART * _patience_of(exchange.route)
            listening = Listening(backend, self.clock, way_silent, way_patience)
            head = await head_of(exchange, answer, listening)
            self._learn(exchange, backend, head)
            if head.refused or head.other_server:
                exchange.uncertain = was_uncertain
                exchange.refused_by += 1
            first = partial(self.first_event, exchange, backend)
            await deliver(exchange, head, answer, listening, caller, first)
            self._note(exchange.req, exchange, "answered")
            if exchange.engine is not None:
                self._ahead(exchange.service).end(self.clock())
            self.outliers.succeeded(backend.server)
            self.pool.give_back(backend, conn)
            conn = None
        finally:
            backend.in_progress -= 1
            backend.unread.discard(exchange)
            self._underway.discard(sent)
            # A server stops its work on a request when its connection closes.
            if conn is not None:
                conn.close()

    def _message(self, exchange: Exchange, backend: Backend) -> bytes:
        now = self.clock()
        left = None
        if exchange.deadline is not None:
            left = max(0.001, exchange.deadline - now - TRAVEL_SECONDS)
        # Servers compare it with what they hold, and one may hold a newer version than
        # the least one already.
        least = self._demand(exchange, now).least_version
        version = max(least, exchange.weights) if least else 0
        sending = Sending(
            server=backend.server,
            left=left,
            organisation=exchange.organisation,
            last_event=exchange.delivered.last_event or exchange.req.head.last_event,
            version=version,
            priority=exchange.urgency,
        )
        return self.wire.write_request(exchange.req, sending) + exchange.req.body

    def _way(self, exchange: Exchange, backend: Backend) -> float | None:
        """How long the way to a server may take; None where it doesn't matter."""
        if exchange.engine is None:
            return None
        model, now = exchange.engine.model, self.clock()
        held = backend.holds(model, exchange.engine.layers, now)
        due = self.beliefs.least_version(model, self.bounds.queue_seconds, now)
        return WAY_SECONDS if held < due else None

    def _way_silent(self, backend: Backend) -> bool:
        data_centre = backend.listed.data_centre
        return self.beliefs.backends.way_silent(data_centre, self.clock())

    def _note_weights(self, exchange: Exchange, backend: Backend) -> None:
        """Keep for the log what was believed of the server's weights at sending."""
        if exchange.engine is None:
            return
        model, now = exchange.engine.model, self.clock()
        held = backend.holds(model, exchange.engine.layers, now)
        over_at = self.beliefs.over_at(model, held, self.bounds.version_seconds)
        exchange.weights = held
        exchange.over_in = None if over_at is None else over_at - now

    def _learn(self, exchange: Exchange, backend: Backend, head: AnswerHead) -> None:
        now = self.clock()
        if head.load is not None:
            backend.hear_load(head.load.running + head.load.waiting, now)
        if head.version and exchange.engine is not None:
            backend.versions[exchange.engine.model] = head.version
        if head.other_server:
            backend.full_until = now + CHANGED_SECONDS
        elif head.refused:
            backend.full_until = now + FULL_SECONDS

    def _learn_failure(
        self, exchange: Exchange, backend: Backend, exc: Exception
    ) -> None:
        refused = isinstance(exc, ServerFailed) and exc.refused
        if isinstance(exc, Unreachable):
            exchange.unreachable += 1
            self.outliers.lost(backend.server, self.clock())
        elif not refused and not isinstance(exc, Recalled):
            self.outliers.failed(backend.server, self.clock())
        if isinstance(exc, AnswerBroken):
            self.crashes.broke(exchange, backend)
        self.events.emit(
            "attempt.failed",
            request=exchange.req.head.request,
            server=backend.server,
            why=f"{type(exc).__name__}: {exc}",
            uncertain=exchange.uncertain,
            pressed=backend.in_progress + backend.others,
        )

    def _may_try_again(self, exchange: Exchange, now: float) -> bool:
        if exchange.uncertain and not exchange.route.idempotent:
            return False
        if exchange.sent_to >= exchange.route.attempts:
            return False
        if exchange.unreachable > MOST_UNREACHABLE:
            return False
        if self.crashes.refuses(exchange):
            return False
        share = self._share(exchange.service)
        return share.may_repeat(now, self.beliefs.entries)

    def _may_move(self, exchange: Exchange, now: float) -> bool:
        """Whether another server can go on with a begun stream right away."""
        if not exchange.replaceable or exchange.delivered.events == 0:
            return False
        share = self._share(exchange.service)
        if not share.has_room(now, self.beliefs.entries):
            return False
        return self._choose(exchange, now).backend is not None

    def _ahead(self, service: str) -> FreshShare:
        return self._fresh.setdefault(service, FreshShare())

    def first_event(self, exchange: Exchange, backend: Backend, now: float) -> None:
        """Take in when the first event of a stream came from a server."""
        if exchange.first_seconds is None:
            exchange.first_seconds = now - exchange.req.arrived
        backend.unread.discard(exchange)
        self._late.begun(exchange)

    def _share(self, service: str) -> RetryShare:
        if service not in self._shares:
            bounds = self.bounds
            self._shares[service] = RetryShare(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return self._shares[service]

    def _break_off(
        self, exchange: Exchange, caller: CallerConnection, why: str
    ) -> None:
        caller.break_off()
        self._note(exchange.req, exchange, "broken-off", reason=why)

    async def _refuse(
        self,
        req: CallerRequest,
        exchange: Exchange | None,
        exc: Refusal,
        caller: CallerConnection,
    ) -> None:
        kept = exchange.delivered.fallback if exchange else None
        if kept and not caller.begun and not isinstance(exc, CallerLeft):
            # A server's own failure says more than that no other one did better.
            await write_whole(caller, *kept)
            self._note(req, exchange, "answered", reason=type(exc).__name__)
            return
        outcome = "left" if isinstance(exc, CallerLeft) else "refused"
        self._note(req, exchange, outcome, reason=type(exc).__name__, why=str(exc))
        if caller.begun or isinstance(exc, CallerLeft):
            caller.break_off()
            return
        body = b'{"error":"%s"}' % type(exc).__name__.encode()
        headers = [(b"Content-Type", b"application/json")]
        if exc.retry_after:
            # Drawn, so that those refused together do not come back together.
            seconds = exc.retry_after * self.rng.uniform(0.7, 1.3)
            headers.append((b"Retry-After", b"%.2f" % seconds))
        caller.write_head(exc.status, headers, len(body))
        await caller.write_body(body)

    def _note(
        self, req: CallerRequest, exchange: Exchange | None, outcome: str, **more: str
    ) -> None:
        """One line on how a request ended."""
        cfg = self.beliefs.configuration
        self.events.emit(
            "request.ended",
            request=req.head.request,
            outcome=outcome,
            seconds=round(self.clock() - req.arrived, 4),
            servers=exchange.tried if exchange else [],
            route=exchange.route.name if exchange else "",
            first=_rounded(exchange.first_seconds) if exchange else None,
            urgency=exchange.urgency if exchange else None,
            weights=exchange.weights if exchange else 0,
            over_in=_rounded(exchange.over_in) if exchange else None,
            configuration=cfg.number if cfg else 0,
            **more,
        )


def _patience_of(route: Route) -> float:
    """Seconds after which callers leave a stream that shows nothing."""
    patience = max(PATIENT_PAUSES * route.pause, PATIENT_GOALS * route.goal)
    return max(patience, PATIENT_SECONDS)


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
