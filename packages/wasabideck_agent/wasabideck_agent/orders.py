"""Orders to the engine, one in flight at a time, and the gate behind them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping

from attrs import define
from wasabideck_base.events import Events
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.servers import Engine, Loaded
from wasabideck_policy.orders import (
    OrderBook,
    gate_open,
    matches,
    order_due,
    ordered_by,
)
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.wants import Wanted

from .runs import Runner

__all__ = ["OrderUnconfirmed", "OrderWithheld", "Orders"]

LOOK_SECONDS = 0.2
SERVER_ERROR = 500


class OrderUnconfirmed(WasabideckError):
    """The engine was ordered, and does not serve what it was ordered to."""

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
    """Orders one engine, reads it back, and opens or closes the gate by it.

    Attributes
    ----------
    wanted : callable
        What the server is to serve by the tickets known now.
    swap_seconds : float
        What the last order took.
    """

    engine: Engine
    runner: Runner
    events: Events
    book: OrderBook
    wanted: Callable[[], Wanted | None]
    clock: Callable[[], float] = time.monotonic
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep
    swap_seconds: float = 0.0
    _begun: bool = False
    _in_flight: asyncio.Task | None = None

    @property
    def serving(self) -> Loaded:
        """What the engine served when it was last read back."""
        return self.runner.in_force

    async def read_back(self) -> None:
        """Read what the engine serves, and set the gate by it."""
        if self._sending:
            return
        self._take(await self.engine.loaded())

    async def bring(
        self,
        wanted: Wanted,
        chunks: Mapping[str, int],
        turn: Callable[[], Awaitable[None]],
    ) -> None:
        """Have the engine serve what its tickets name.

        Parameters
        ----------
        chunks : mapping of str to int
            How many chunks make each manifest whole.
        turn : callable
            Awaited before the server stops for the swap.

        Raises
        ------
        OrderWithheld
            The engine has a later ticket.
        OrderUnconfirmed
            It serves something else after the order.
        PlatformUnavailable, PlatformRefused
            It cannot be reached, or refuses.
        """
        await self._settle()
        if not self._due(wanted):
            return
        if self.runner.gate.open:
            await turn()
        # Whoever waits here may be cancelled by a newer ticket. The order is not: it
        # is on its way, and the next one must know how it ended.
        self._in_flight = asyncio.create_task(self._send(wanted, chunks))
        self._in_flight.add_done_callback(_retrieve)
        await asyncio.shield(self._in_flight)
        if self._due(wanted):
            raise OrderUnconfirmed(wanted.ticket, self.serving.fence)

    async def finish(self) -> None:
        """Wait until no order is in flight."""
        if self._sending:
            await asyncio.wait({self._in_flight})

    @property
    def _sending(self) -> bool:
        return self._in_flight is not None and not self._in_flight.done()

    async def _settle(self) -> None:
        """Wait until the fate of every earlier order is known."""
        await self.finish()
        await self.read_back()
        while not self.book.settled(self.clock()):
            await self.pause(LOOK_SECONDS)
            await self.read_back()

    async def _send(self, wanted: Wanted, chunks: Mapping[str, int]) -> None:
        order = ordered_by(wanted)
        self.events.emit("order.sent", ticket=wanted.ticket, version=order.version)
        # New requests wait while the engine swaps; those in progress go on on the
        # version that they began with.
        self.runner.gate.open = False
        begun = self.clock()
        try:
            await self.engine.order(order, chunks)
        except PlatformUnavailable as exc:
            if exc.maybe_applied:
                self.book.lose(wanted.ticket, self.clock())
            self.events.emit("order.lost", ticket=wanted.ticket, why=str(exc))
        except PlatformRefused as exc:
            # An error of the engine says nothing of what it will do with the order.
            if exc.answer_status >= SERVER_ERROR:
                self.book.lose(wanted.ticket, self.clock())
            self.events.emit("order.refused", ticket=wanted.ticket, why=str(exc))
        else:
            self.swap_seconds = self.clock() - begun
        finally:
            self._take(await self.engine.loaded())

    def _take(self, serving: Loaded) -> None:
        if not self._begun:
            self._begun = True
            self.book.begin(serving, self.clock())
        self.book.see(serving)
        if serving.fence < self.book.highest:
            self.events.emit("engine.reverted", fence=serving.fence)
        self.runner.in_force = serving
        self.runner.gate.open = gate_open(serving, self.wanted(), self.book.highest)

    def _due(self, wanted: Wanted) -> bool:
        if matches(self.serving, wanted):
            return False
        if not order_due(self.serving, wanted):
            raise OrderWithheld(wanted.ticket, self.serving.fence)
        return True


def _retrieve(task: asyncio.Task) -> None:
    """Take a failure that nobody waits for any more; the next read-back shows it."""
    if not task.cancelled():
        task.exception()
