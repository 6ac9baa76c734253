"""Which part of a service's requests its engines can still serve in time.

Measured load: for seconds the drafts that arrive are 1.2 to 2 times what the engines
write. Treated alike, all of them wait the same and 9 in 10 come late. With a part of
them sent ahead, as large as the engines' rate, that part is in time and the rest waits
behind it: nobody is refused for it, and no work is lost.
"""

from __future__ import annotations

import random

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


@define
class FreshShare:
    """The share of requests that is sent ahead of the others, found by its delays."""

    share: float = 1.0

    def observe(self, seconds: float, goal: float) -> None:
        """Take in how long the first event of a request sent ahead took."""
        if seconds > LATE_PART * goal:
            self.share = max(LEAST, self.share * DOWN)
        else:
            self.share = min(1.0, self.share + UP)

    def draw(self, rng: random.Random) -> bool:
        """Whether one more request is sent ahead."""
        return self.share >= 1.0 or rng.random() < self.share
