"""Tells entries how the engine beside an agent is doing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.engine_datagrams import EngineNewsSender
from wasabideck_base.node_process import NodeProcess
from wasabideck_policy.engine_news import EngineNews, worth_telling
from wasabideck_policy.engine_state import EngineState
from wasabideck_policy.membership import ENTRY
from wasabideck_policy.outcomes import WasabideckError

from .staging import Engine

__all__ = ["NewsLoop"]

# The engine's own report from its own VM is fresh and costs a millisecond of processor.
# Entries choose by this word: a place is free or taken every 0.1 s (seconds).
LOOK_SECONDS = 0.1
# Entries in other regions hear every fourth word, and each big change: a word is 70
# bytes with its headers, and the links between regions are thin.
FAR_EVERY = 4
# At the target size each agent tells so many entries, its own region's first; the
# others use other servers.
MOST_TOLD = 48


@define
class NewsLoop:
    """Looks at the engine and tells entries, ten times a second.

    Attributes
    ----------
    describe : callable
        The version begun on, whether new requests are taken, seconds until the newest
        version is served, and the newest one whose age is known, for an engine's state;
        None to tell nothing.
    """

    process: NodeProcess
    engine: Engine
    describe: Callable[[EngineState], tuple[int, bool, float, int] | None]
    sender: EngineNewsSender = field(factory=EngineNewsSender)
    _last: EngineNews | None = None
    _looks: int = 0

    async def run(self) -> None:
        """Tell for ever; an engine that does not answer is not told of."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.sender, local_addr=(self.process.cfg.ip, 0)
        )
        while True:
            try:
                self.tell(await self.engine.state())
            except WasabideckError:
                # The main loop logs what is wrong with the engine.
                self._last = None
            await asyncio.sleep(LOOK_SECONDS)

    def tell(self, state: EngineState) -> None:
        """Tell of a state: those near by always, the others now and then."""
        described = self.describe(state)
        if described is None:
            return
        version, serving, ready_in, named = described
        news = EngineNews(
            self.process.cfg.server_address,
            version,
            serving,
            state.running,
            state.waiting,
            ready_in,
            named,
            state.pace,
        )
        everyone = worth_telling(self._last, news) or self._looks % FAR_EVERY == 0
        self._looks += 1
        if everyone:
            self._last = news
        self.sender.send(news, self._addresses(everyone))

    def _addresses(self, everyone: bool) -> list[str]:
        cfg = self.process.cfg
        members = self.process.believer.hearsay.members.values()
        entries = [m for m in members if m.kind == ENTRY]
        near = [m.address for m in entries if m.region == cfg.region]
        if not everyone:
            return near[:MOST_TOLD]
        far = [m.address for m in entries if m.region != cfg.region]
        return [*near, *far][:MOST_TOLD]
