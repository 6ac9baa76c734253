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
from wasabideck_policy.fresh_share import FreshShare
from wasabideck_policy.outliers import Outliers
from wasabideck_policy.placement import Demand, Place, choose
from wasabideck_policy.retry_share import RetryShare

from .caller_connection import CallerConnection
from .crash_watch import CrashWatch
from .delivery import ServerFailed, deliver, head_of, write_whole
from .exchange import Exchange
from .messages import AnswerHead, CallerRequest, Sending, Wire
from .recall import Recalled, Sent, Unbegun
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
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    version_seconds: float
    begin_seconds: float
    queue_seconds: float


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
    _unbegun: Unbegun = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin with nothing sent."""
        self._unbegun = Unbegun(self.beliefs)

    def wake(self) -> None:
        """Wake requests that wait for a server: something is known anew."""
        self._news.set()
        self._news = asyncio.Event()

    def set_bounds(self, bounds: Bounds) -> None:
        """Take changed figures in."""
        self.bounds = bounds
        self._shares.clear()

    async def keep_taking_back(self) -> None:
        """Take back what waits at servers for weights that are over, for ever."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            self._unbegun.take_back(self.bounds.begin_seconds, self.clock())

    async def serve(self, req: CallerRequest, caller: CallerConnection) -> None:
        """Answer one request on its connection."""
        self.in_progress += 1
        exchange = None
        try:
            exchange = self._admit(req, self.clock())
            await self._within_time(exchange, caller)
        except Refusal as exc:
            await self._refuse(req, exchange, exc, caller)
        except asyncio.CancelledError:
            self._note(req, exchange, "left")
            raise
        finally:
            self.in_progress -= 1

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
        return exchange

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
            if place.backend is not None:
                exchange.urgency = place.urgency if exchange.engine else None
                return place.backend
            back_in = place.back_in
            limit = min(began + LONGEST_WAIT, exchange.until - WORK_SECONDS)
            soon = back_in is not None and now + back_in <= limit
            if place.full or not soon:
                raise self._no_place(exchange, place)
            exchange.waited = True
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(back_in):
                    await self._news.wait()

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
        goal = exchange.req.arrived + exchange.route.goal
        # A caller that has half of a stream leaves when it pauses for 2 s or more, and
        # all that was written for it is lost: behind what is late the rest of it would
        # wait longer at a loaded engine.
        begun = exchange.delivered.events > 0
        return Demand(
            self.data_centre,
            model,
            exchange.engine.layers,
            beliefs.least_version(model, bounds.version_seconds, now),
            beliefs.least_version(model, bounds.queue_seconds, now),
            late=now > goal - FIRST_EVENT_SECONDS and not begun,
            ahead=exchange.ahead or begun,
            entries=max(1, beliefs.entries),
        )

    async def _attempt(
        self, exchange: Exchange, backend: Backend, caller: CallerConnection
    ) -> None:
        """Send it to one server and pass the answer on."""
        exchange.tried.append(backend.server)
        exchange.replaceable = (
            exchange.route.idempotent and len(exchange.tried) < exchange.route.attempts
        )
        backend.begin(self.clock())
        conn: ServerConnection | None = None
        answer = Answer(exchange.req.head.request, exchange.req.method == b"HEAD")
        sent = exchange.engine and Sent(answer, backend, exchange.engine)
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
                self._unbegun.add(sent)
            head = await head_of(exchange, answer, backend, self.clock)
            self._learn(exchange, backend, head)
            if head.refused or head.other_server:
                exchange.uncertain = was_uncertain
                exchange.refused_by += 1
            first = partial(self.first_event, exchange)
            await deliver(exchange, head, answer, backend, caller, self.clock, first)
            self._note(exchange.req, exchange, "answered")
            if exchange.engine is not None:
                self._ahead(exchange.service).end(self.clock())
            self.outliers.succeeded(backend.server)
            self.pool.give_back(backend, conn)
            conn = None
        finally:
            backend.in_progress -= 1
            self._unbegun.discard(sent)
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
        now = self.clock()
        held = backend.holds(exchange.engine.model, exchange.engine.layers, now)
        soon_over = held < self._demand(exchange, now).soon_version
        return WAY_SECONDS if soon_over else None

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
        if len(exchange.tried) >= exchange.route.attempts:
            return False
        if self.crashes.refuses(exchange):
            return False
        share = self._share(exchange.service)
        return share.may_repeat(now, self.beliefs.entries)

    def _ahead(self, service: str) -> FreshShare:
        return self._fresh.setdefault(service, FreshShare())

    def first_event(self, exchange: Exchange, now: float) -> None:
        """Take in when a stream's first event came."""
        exchange.first_seconds = now - exchange.req.arrived

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


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
