"""Orders to the engine, one in flight at a time, and admission as they require it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping

from attrs import define
from wasabideck_base.events import Events
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.server_clients import ModelEngineClient, ServedState
from wasabideck_policy.desired_weights import DesiredWeights
from wasabideck_policy.orders import (
    OrderState,
    expected_serving,
    may_serve,
    order_due,
    serves_desired,
)
from wasabideck_policy.outcomes import WasabideckError

from .runner import Runner

__all__ = ["OrderUnconfirmed", "OrderWithheld", "Orders"]

SETTLE_POLL_INTERVAL_SECONDS = 0.2
MIN_SERVER_ERROR_STATUS = 500


class OrderUnconfirmed(WasabideckError):
    """The engine was sent an order and does not serve what it was ordered to."""

    def __init__(self, ticket: int, fence: int):
        super().__init__(f"ordered ticket {ticket}, the engine has {fence}")
        self.ticket = ticket
        self.fence = fence


class OrderWithheld(WasabideckError):
    """The engine has a later ticket than this process knows."""

    def __init__(self, ticket: int, fence: int):
        super().__init__(f"ticket {ticket} is older than the engine's {fence}")
        self.ticket = ticket
        self.fence = fence


@define
class Orders:
    """Sends orders to one engine, reads its state back, and opens or closes admission.

    Attributes
    ----------
    desired_weights : callable
        Returns what the server should serve according to the known tickets.
    last_swap_seconds : float
        Duration of the last order.
    """

    engine: ModelEngineClient
    runner: Runner
    events: Events
    book: OrderState
    desired_weights: Callable[[], DesiredWeights | None]
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    last_swap_seconds: float = 0.0
    _has_read_back: bool = False
    _in_flight: asyncio.Task | None = None

    @property
    def serving(self) -> ServedState:
        """What the engine served when it was last read back."""
        return self.runner.serving

    async def read_back(self) -> None:
        """Read what the engine serves, and open or close admission accordingly."""
        if self._order_in_flight:
            return
        self._apply_read_back(await self.engine.read_state())

    async def apply(
        self,
        desired: DesiredWeights,
        chunks: Mapping[str, int],
        wait_for_turn: Callable[[], Awaitable[None]],
    ) -> None:
        """Make the engine serve the weights that its tickets declare.

        Parameters
        ----------
        chunks : mapping of str to int
            Number of chunks of each complete manifest.
        wait_for_turn : callable
            Awaited before the server stops serving for the swap.

        Raises
        ------
        OrderWithheld
            The engine has a later ticket.
        OrderUnconfirmed
            The engine serves something else after the order.
        PlatformUnavailable, PlatformRefused
            The engine cannot be reached, or refuses the order.
        """
        await self._wait_until_settled()
        if not self._is_due(desired):
            return
        if self.runner.admission.accepting:
            await wait_for_turn()
        # A newer ticket may cancel the task that waits here, but not the order: it has
        # been sent, and the next order needs to know how it ended.
        self._in_flight = asyncio.create_task(self._send(desired, chunks))
        self._in_flight.add_done_callback(_retrieve_exception)
        await asyncio.shield(self._in_flight)
        if self._is_due(desired):
            raise OrderUnconfirmed(desired.ticket, self.serving.fence)

    async def wait_until_idle(self) -> None:
        """Wait until no order is in flight."""
        if self._order_in_flight:
            await asyncio.wait({self._in_flight})

    @property
    def _order_in_flight(self) -> bool:
        return self._in_flight is not None and not self._in_flight.done()

    async def _wait_until_settled(self) -> None:
        """Wait until the outcome of every earlier order is known."""
        await self.wait_until_idle()
        await self.read_back()
        while not self.book.may_send(self.clock()):
            await self.sleep(SETTLE_POLL_INTERVAL_SECONDS)
            await self.read_back()

    async def _send(self, desired: DesiredWeights, chunks: Mapping[str, int]) -> None:
        order = expected_serving(desired)
        self.events.emit("order.sent", ticket=desired.ticket, version=order.version)
        # New requests wait while the engine swaps. Requests in progress continue on
        # the version that they started with.
        self.runner.admission.accepting = False
        started = self.clock()
        try:
            await self.engine.order(order, chunks)
        except PlatformUnavailable as exc:
            if exc.maybe_applied:
                self.book.record_lost(desired.ticket, self.clock())
            self.events.emit("order.lost", ticket=desired.ticket, why=str(exc))
        except PlatformRefused as exc:
            # After an internal error the engine may still execute the order.
            if exc.response_status >= MIN_SERVER_ERROR_STATUS:
                self.book.record_lost(desired.ticket, self.clock())
            self.events.emit("order.refused", ticket=desired.ticket, why=str(exc))
        else:
            self.last_swap_seconds = self.clock() - started
        finally:
            self._apply_read_back(await self.engine.read_state())

    def _apply_read_back(self, serving: ServedState) -> None:
        if not self._has_read_back:
            self._has_read_back = True
            self.book.start(serving, self.clock())
        self.book.record_serving(serving)
        if serving.fence < self.book.highest_fence:
            self.events.emit("engine.reverted", fence=serving.fence)
        self.runner.serving = serving
        self.runner.admission.accepting = may_serve(
            serving, self.desired_weights(), self.book.highest_fence
        )

    def _is_due(self, desired: DesiredWeights) -> bool:
        if serves_desired(self.serving, desired):
            return False
        if not order_due(self.serving, desired):
            raise OrderWithheld(desired.ticket, self.serving.fence)
        return True


def _retrieve_exception(task: asyncio.Task) -> None:
    """Mark the task's exception as retrieved, in case no task waits for it any more.

    The next read-back shows the effect of the failure.
    """
    if not task.cancelled():
        task.exception()
