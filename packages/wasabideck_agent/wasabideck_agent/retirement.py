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
    _settled: int = 0

    async def run(self) -> None:
        """Look for ever whether weights have to go."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            with self._noting_failures():
                await self.look(self.process.clock())

    async def look(self, now: float) -> None:
        """Take out what is older than the version that is due soon."""
        model = self.model()
        if model is None:
            return
        ahead = LATEST_SECONDS if self.loading else AHEAD_SECONDS
        due = self.due(model, now + ahead)
        if due > self._settled and await self._take_out(model, due):
            self._settled = due

    async def leave(self, grace: float) -> None:
        """Go on until the engine has no weights that will be over.

        After it there is nobody who could take them out.

        Parameters
        ----------
        grace : float
            Seconds after which they are taken out at once.
        """
        end = self.process.clock() + grace
        self.process.events.emit("process.leaving", grace=grace)
        while self.process.clock() < end:
            if not await self._outlived():
                return
            await asyncio.sleep(LOOK_SECONDS)
        model = self.model()
        if model is not None:
            newest = self.process.believer.beliefs.newest_version(model.model)
            with self._noting_failures():
                await self._take_out(model, newest)

    async def _outlived(self) -> bool:
        """Whether requests could begin on weights that are not the newest."""
        model = self.model()
        if model is None:
            return False
        newest = self.process.believer.beliefs.newest_version(model.model)
        with self._noting_failures():
            async with asyncio.timeout(CALL_SECONDS):
                state = await self.engine.state()
            return not state.busy and 0 < held_version(state, model) < newest
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
        """The version that the engine may begin requests on at least, at a time."""
        within = self.process.cfg.bounds.version
        return self.process.believer.beliefs.surely_due(model.model, within, at)

    async def _take_out(self, model: EngineModel, due: int) -> bool:
        """Whether the engine holds nothing older than ``due``; orders it out if so."""
        async with asyncio.timeout(CALL_SECONDS):
            state = await self.engine.state()
        if state.busy:
            # It begins nothing until the order has ended, and then on what that loads.
            return False
        held = held_version(state, model)
        if not 0 < held < due:
            return True
        async with asyncio.timeout(CALL_SECONDS):
            answer = await self.engine.unload(model.model, due, state.orders)
        self.process.events.emit(
            "weights.retired",
            version=held,
            due=due,
            answer=answer.value,
            running=state.running,
            waiting=state.waiting,
        )
        if answer is not OrderAnswer.REFUSED:
            self.tell(evolve(state, busy=True))
        # The next look tells whether it is out.
        return False
