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

# A first event that comes later than this part of the goal means that those sent ahead
# queue for each other; what is left covers the way back and the next few requests.
LATE_PART = 0.8
# Each such event takes the share down by a tenth, each other one up by a fiftieth: an
# entry sees 5 to 20 a second, so a queue is worked off and the share back within one to
# three seconds, and in between it swings by a few hundredths.
DOWN = 0.9
UP = 0.02
LEAST = 0.1
# Arrivals and ends are counted over about so long: a stream lasts 1 to 2 s, and the
# rate at which they end tells the engines' rate a second before delays do.
COUNTED_SECONDS = 1.5
# Of what ends so much is sent ahead; the rest works off the queue of those before.
ENDED_PART = 0.95


@define
class FreshShare:
    """The share of requests sent ahead, from the rate at which others end, and delays.

    Attributes
    ----------
    by_delay : float
        The share that the delays of those sent ahead allow.
    """

    by_delay: float = 1.0
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

    def observe(self, seconds: float, goal: float) -> None:
        """Take in how long the first event of a request sent ahead took."""
        if seconds > LATE_PART * goal:
            self.by_delay = max(LEAST, self.by_delay * DOWN)
        else:
            self.by_delay = min(1.0, self.by_delay + UP)

    def share(self) -> float:
        """The share now, from 0 to 1; counts for nothing while places are free."""
        by_rate = ENDED_PART * self._ended / max(self._arrived, 1.0)
        return max(LEAST, min(self.by_delay, by_rate))

    def draw(self, rng: random.Random) -> bool:
        """Whether one more request is sent ahead."""
        return rng.random() < self.share()

    def _fade(self, now: float) -> None:
        kept = exp((self._counted_at - now) / COUNTED_SECONDS)
        self._arrived *= kept
        self._ended *= kept
        self._counted_at = now
