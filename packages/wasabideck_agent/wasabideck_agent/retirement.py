"""Unloads weights from an engine before they expire.

Entries stop sending requests in time and recall the waiting ones, but their messages
reach the engine over a link that may be full, from a process that may be suspended. An
order comes from the engine's own VM, and once the engine has accepted it no request
starts on the current weights.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, evolve, field
from wasabideck_base.vm_process import VMProcess
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.engine_state import EngineState, OrderResponse
from wasabideck_policy.outcomes import WasabideckError

from .staging import Engine, loaded_version

__all__ = ["Retirement"]

# How long before the expiry the order is sent. A request that has a slot by then may
# still have its prompt processed before it starts, which takes 50 ms each. Entries send
# no request later than this.
UNLOAD_LEAD_SECONDS = 0.45
# While an order to load newer weights is prepared, it is waited for until this long
# before the expiry.
UNLOAD_LEAD_WHILE_LOADING_SECONDS = 0.3
CHECK_INTERVAL_SECONDS = 0.05
# Interval between checks while no expiry is near. A declaration time that is found in
# between is acted on well within UNLOAD_LEAD_SECONDS.
IDLE_CHECK_INTERVAL_SECONDS = 0.2
# Delay until the next check of an empty engine, in case an order in progress still
# loads expired weights, and after an order that the engine refused.
RECHECK_DELAY_SECONDS = 0.2
# A process that shuts down retries to unload the weights for this long at the end.
FINAL_RETRIES_SECONDS = 0.5
# Time after which a call to the engine on the same VM is repeated. An order is accepted
# once per engine state, however often it arrives.
CALL_TIMEOUT_SECONDS = 0.25


@define
class Retirement:
    """Unloads the weights of one engine when newer ones are due.

    Attributes
    ----------
    model : callable
        Returns the model that the engine serves, or None while it is unknown.
    send_report : callable
        Sends an engine report for the given state to the entries immediately.
    loading : bool
        Whether an order to load newer weights is being prepared.
    last_state : EngineState or None
        The last state that the engine reported.
    """

    process: VMProcess
    engine: Engine
    model: Callable[[], EngineModel | None]
    send_report: Callable[[EngineState], None]
    loading: bool = False
    last_state: EngineState | None = None
    _orders: set[asyncio.Task] = field(factory=set)
    _unloaded_below: int = 0
    _retry_at: float = float("-inf")

    async def run(self) -> None:
        """Check periodically, until cancelled, whether weights have to be unloaded."""
        while True:
            await asyncio.sleep(self.check_delay(self.process.clock()))
            with self._logging_failures():
                await self.check(self.process.clock())

    def check_delay(self, now: float) -> float:
        """Return the delay to the next check, which is short only near an expiry."""
        model = self.model()
        if model is None:
            return IDLE_CHECK_INTERVAL_SECONDS
        soon = self.required_version(
            model, now + UNLOAD_LEAD_SECONDS + IDLE_CHECK_INTERVAL_SECONDS
        )
        return (
            CHECK_INTERVAL_SECONDS
            if soon > self._unloaded_below
            else IDLE_CHECK_INTERVAL_SECONDS
        )

    async def check(self, now: float) -> None:
        """Unload weights that are older than the version that is due soon."""
        model = self.model()
        if model is None:
            return
        ahead = (
            UNLOAD_LEAD_WHILE_LOADING_SECONDS if self.loading else UNLOAD_LEAD_SECONDS
        )
        due = self.required_version(model, now + ahead)
        if due > self._unloaded_below and now >= self._retry_at:
            await self._unload_older(model, due)

    async def drain(self, grace: float) -> None:
        """Wait until the engine has no weights that will expire.

        Nothing else could unload them once this agent has terminated.

        Parameters
        ----------
        grace : float
            Seconds after which the weights are unloaded without further waiting.
        """
        end = self.process.clock() + grace
        self.process.events.emit("process.leaving", seconds=grace)
        while (now := self.process.clock()) < end:
            model = self.model()
            newest = self._newest(model)
            if (
                model is None
                or not newest
                or not await self._serves_superseded(model, newest)
            ):
                return
            if now >= end - FINAL_RETRIES_SECONDS:
                with self._logging_failures():
                    await self._unload_older(model, newest)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _newest(self, model: EngineModel | None) -> int:
        cluster_state = self.process.state_sync.cluster_state
        return cluster_state.newest_version(model.model) if model else 0

    async def _serves_superseded(self, model: EngineModel, newest: int) -> bool:
        """Whether requests can still start on weights that are not the newest."""
        with self._logging_failures():
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                state = await self.engine.read_state()
            return state.order_in_progress or 0 < loaded_version(state, model) < newest
        return True

    @contextmanager
    def _logging_failures(self) -> Iterator[None]:
        """Log a failed call to the engine and suppress its error: it is retried."""
        try:
            yield
        except (WasabideckError, TimeoutError) as exc:
            why = f"{type(exc).__name__}: {exc}"
            self.process.events.emit("retirement.failed", why=why)

    def required_version(self, model: EngineModel, at: float) -> int:
        """Return the lowest version on which requests may start at the given time.

        A version whose declaration time is unknown is not due for
        ``disturbance_hold_seconds``, during which the time may be found. Meanwhile
        entries send no requests to older weights.
        """
        limits, cluster_state = (
            self.process.cfg.limits,
            self.process.state_sync.cluster_state,
        )
        return cluster_state.min_version_for_irreversible(
            model.model,
            limits.version_deadline_seconds,
            at,
            limits.disturbance_hold_seconds,
        )

    async def _unload_older(self, model: EngineModel, due: int) -> None:
        """Order the engine to unload weights that are older than ``due``."""
        state = await self._read_state()
        if state.order_in_progress:
            # No request starts until the order ends, and then only on what it loads.
            return
        held = loaded_version(state, model)
        if held >= due:
            self._unloaded_below = due
            return
        if held == 0:
            self._retry_at = self.process.clock() + RECHECK_DELAY_SECONDS
            return
        order = asyncio.create_task(self._order_unload(model, state, due))
        self._orders.add(order)
        order.add_done_callback(self._orders.discard)
        # The order is not cancelled: an engine may ignore what it reads from a closed
        # connection.
        await asyncio.wait({order}, timeout=CALL_TIMEOUT_SECONDS)

    async def _read_state(self) -> EngineState:
        """Return the engine's state, or the last known one if it does not respond.

        An engine that is suspended for a moment may start the waiting requests as soon
        as it continues. An order that it has not read yet is then read first.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                self.last_state = await self.engine.read_state()
        except TimeoutError:
            if self.last_state is None:
                raise
            self.process.events.emit("retirement.failed", why="no state in time")
        return self.last_state

    async def _order_unload(
        self, model: EngineModel, state: EngineState, due: int
    ) -> None:
        """Send an order, which the engine refuses if its state has changed."""
        load_fields = {"running": state.running, "waiting": state.waiting}
        with self._logging_failures():
            answer = await self.engine.unload(model.model, due, state.accepted_orders)
            if answer is OrderResponse.REFUSED:
                self._retry_at = self.process.clock() + RECHECK_DELAY_SECONDS
                self.process.events.emit(
                    "retirement.failed", why="refused", **load_fields
                )
                return
            held = loaded_version(state, model)
            self.process.events.emit(
                "weights.retired", version=held, due=due, **load_fields
            )
            self.send_report(evolve(state, order_in_progress=True))
