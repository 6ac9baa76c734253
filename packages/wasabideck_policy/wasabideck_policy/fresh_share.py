"""Which part of a service's requests its engines can still serve in time.

Measured load: for seconds the drafts that arrive are 1.2 to 2 times what the engines
write. Treated alike, all of them wait the same and 9 in 10 come late. With a part of
them sent ahead, as large as the engines' rate, that part is in time and the rest waits
behind it: nobody is refused for it, and no work is lost.
"""

from __future__ import annotations

import random
from math import exp

from attrs import define

__all__ = ["FreshShare"]

LEAST = 0.1
# Arrivals and ends are counted over about so long: a stream lasts 1 to 2 s, and the
# rate at which they end tells the engines' rate a second before delays do (seconds).
COUNTED_SECONDS = 1.5
# Of what ends so much is sent ahead; the rest works off the queue of those before. In a
# model of an engine at 1.4 times its rate, and of one that stops for two seconds, 65
# and 67 in 100 are in time so; 64 and 66 with 0.95, 49 and 51 with a share that follows
# the delays of those sent ahead instead.
ENDED_PART = 0.85


@define
class FreshShare:
    """The share of requests sent ahead, from the rate at which others end."""

    _arrived: float = 0.0
    _ended: float = 0.0
    _counted_at: float = 0.0

    def arrive(self, now: float) -> None:
        """Count a request."""
        self._fade(now)
        self._arrived += 1

    def end(self, now: float) -> None:
        """Count a request that was answered whole."""
        self._fade(now)
        self._ended += 1

    def share(self) -> float:
        """The share now, from 0 to 1; it counts for nothing while places are free."""
        return min(1.0, max(LEAST, ENDED_PART * self._ended / max(self._arrived, 1.0)))

    def draw(self, rng: random.Random) -> bool:
        """Whether one more request is sent ahead."""
        return rng.random() < self.share()

    def _fade(self, now: float) -> None:
        kept = exp((self._counted_at - now) / COUNTED_SECONDS)
        self._arrived *= kept
        self._ended *= kept
        self._counted_at = now
