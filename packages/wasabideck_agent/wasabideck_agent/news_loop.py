"""Tells entries how the engine beside an agent is doing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.engine_datagrams import EngineNewsSender
from wasabideck_base.node_process import NodeProcess
from wasabideck_policy.audience import Audience, audience_of
from wasabideck_policy.engine_news import EngineNews, worth_telling
from wasabideck_policy.engine_state import EngineState
from wasabideck_policy.outcomes import WasabideckError

from .staging import Engine

__all__ = ["NewsLoop"]

# The engine's own report from its own VM is fresh and costs a millisecond of processor.
# Entries choose by this word: a place is free or taken every 0.1 s (seconds).
LOOK_SECONDS = 0.1
# Entries in other regions hear every sixth word, and each big change: a word is 70
# bytes with its headers, the links between regions are thin, and a server near by is
# chosen as long as one has a place. Two words fit into the time for which one is fresh.
FAR_EVERY = 6
# Who is there changes rarely, and is looked at so often (seconds).
MEMBERS_SECONDS = 1.0


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
    audience: Audience = field(factory=Audience)
    _audience_at: float = float("-inf")
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
        self._take_members(self.process.clock())
        if worth_telling(self._last, news):
            self._last = news
            self.sender.send(news, self.audience.for_change())
            return
        with_far = self._looks % FAR_EVERY == 0
        self._looks += 1
        if with_far:
            self._last = news
        self.sender.send(news, self.audience.for_word(with_far))

    def _take_members(self, now: float) -> None:
        if now - self._audience_at < MEMBERS_SECONDS:
            return
        self._audience_at = now
        cfg, members = self.process.cfg, self.process.believer.hearsay.members
        self.audience.take(*audience_of(cfg.vm, cfg.region, members.values()))
