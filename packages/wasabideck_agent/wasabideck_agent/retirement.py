"""Takes weights out of an engine before their time is over.

Entries stop sending in time and take back what waits, but both reach the engine over a
link that may be full, from a process that may stand still. An order comes from the
engine's own VM, and once it is accepted nothing begins on the weights that are there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, evolve
from wasabideck_base.node_process import NodeProcess
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.engine_state import EngineState, OrderAnswer
from wasabideck_policy.outcomes import WasabideckError

from .staging import Engine, held_version

__all__ = ["Retirement"]

# How long before the end the order goes out. What has a place by then may still have
# its prompt read before it begins, 50 ms each; entries send nothing later than this
# (seconds).
AHEAD_SECONDS = 0.45
# While newer weights are checked for an order of their own, that one is waited for
# until so long before the end (seconds).
LATEST_SECONDS = 0.3
LOOK_SECONDS = 0.05
# While no version's end is near, looks are so far apart: a date that is found meanwhile
# is acted on well within the time ahead (seconds).
QUIET_SECONDS = 0.2
# An engine that holds nothing is looked at so often, in case that an order still brings
# overdue weights in; and so long after an order that it refused (seconds).
EMPTY_LOOK_SECONDS = 0.2
# A process that stops tries for so long to take the weights out at last (seconds).
LAST_TRIES_SECONDS = 0.5
# A call to the engine on the same VM that takes longer is given up and made again: an
# order fits the engine's state once, however often it arrives (seconds).
CALL_SECONDS = 0.25


@define
class Retirement:
    """Retires the weights of one engine when newer ones are due.

    Attributes
    ----------
    model : callable
        The model that the engine serves; None while it is not known.
    tell : callable
        Tells entries at once of an engine's state.
    loading : bool
        An order to load newer weights is being prepared.
    """

    process: NodeProcess
    engine: Engine
    model: Callable[[], EngineModel | None]
    tell: Callable[[EngineState], None]
    loading: bool = False
    _none_older_than: int = 0
    _next_look: float = float("-inf")

    async def run(self) -> None:
        """Look for ever whether weights have to go."""
        while True:
            await asyncio.sleep(self.pause(self.process.clock()))
            with self._noting_failures():
                await self.look(self.process.clock())

    def pause(self, now: float) -> float:
        """Seconds until the next look: short only when weights may have to go soon."""
        model = self.model()
        if model is None:
            return QUIET_SECONDS
        soon = self.due(model, now + AHEAD_SECONDS + QUIET_SECONDS)
        return LOOK_SECONDS if soon > self._none_older_than else QUIET_SECONDS

    async def look(self, now: float) -> None:
        """Take out what is older than the version that is due soon."""
        model = self.model()
        if model is None:
            return
        ahead = LATEST_SECONDS if self.loading else AHEAD_SECONDS
        due = self.due(model, now + ahead)
        if due > self._none_older_than and now >= self._next_look:
            await self._take_out(model, due)

    async def leave(self, grace: float) -> None:
        """Go on until the engine has no weights that will be over.

        After it there is nobody who could take them out.

        Parameters
        ----------
        grace : float
            Seconds after which they are taken out at once.
        """
        end = self.process.clock() + grace
        self.process.events.emit("process.leaving", seconds=grace)
        while (now := self.process.clock()) < end:
            model = self.model()
            newest = self._newest(model)
            if model is None or not newest or not await self._outlived(model, newest):
                return
            if now >= end - LAST_TRIES_SECONDS:
                with self._noting_failures():
                    await self._take_out(model, newest)
            await asyncio.sleep(LOOK_SECONDS)

    def _newest(self, model: EngineModel | None) -> int:
        beliefs = self.process.believer.beliefs
        return beliefs.newest_version(model.model) if model else 0

    async def _outlived(self, model: EngineModel, newest: int) -> bool:
        """Whether requests can or will begin on weights that are not the newest."""
        with self._noting_failures():
            async with asyncio.timeout(CALL_SECONDS):
                state = await self.engine.state()
            return state.busy or 0 < held_version(state, model) < newest
        return True

    @contextmanager
    def _noting_failures(self) -> Iterator[None]:
        """Pass over a call that failed, with a line: it is made again."""
        try:
            yield
        except (WasabideckError, TimeoutError) as exc:
            why = f"{type(exc).__name__}: {exc}"
            self.process.events.emit("retirement.failed", why=why)

    def due(self, model: EngineModel, at: float) -> int:
        """The version that the engine may begin requests on at least, at a time.

        A version whose date is unknown is not due for ``stable`` seconds, in which its
        date may be found. Entries send nothing to older weights meanwhile.
        """
        bounds, beliefs = self.process.cfg.bounds, self.process.believer.beliefs
        return beliefs.surely_due(model.model, bounds.version, at, bounds.stable)

    async def _take_out(self, model: EngineModel, due: int) -> None:
        """Order out what an engine holds that is older than ``due``."""
        async with asyncio.timeout(CALL_SECONDS):
            state = await self.engine.state()
        if state.busy:
            # It begins nothing until the order has ended, and then on what that loads.
            return
        held = held_version(state, model)
        if held >= due:
            self._none_older_than = due
            return
        if held == 0:
            self._next_look = self.process.clock() + EMPTY_LOOK_SECONDS
            return
        async with asyncio.timeout(CALL_SECONDS):
            answer = await self.engine.unload(model.model, due, state.orders)
        told = {"running": state.running, "waiting": state.waiting}
        if answer is OrderAnswer.REFUSED:
            self._next_look = self.process.clock() + EMPTY_LOOK_SECONDS
            self.process.events.emit("retirement.failed", why="refused", **told)
            return
        self.process.events.emit("weights.retired", version=held, due=due, **told)
        self.tell(evolve(state, busy=True))
