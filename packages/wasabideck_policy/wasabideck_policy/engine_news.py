"""What agents tell of their engines, and when service is back."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

__all__ = ["FRESH_SECONDS", "EngineNews", "back_in", "worth_telling"]

# News this old says nothing about the present (seconds): an agent tells four times a
# second, and a datagram or two may be lost.
FRESH_SECONDS = 1.2
# A change of so many requests is told at once also to those who are told less often.
BIG_CHANGE = 4


@frozen
class EngineNews:
    """One agent's word on its engine.

    Attributes
    ----------
    version : int
        Version of the weights that it begins requests on; 0 for none. During a swap
        that is the new one: what waits there is begun after it.
    serving : bool
        It takes new requests: no swap is due or in progress.
    ready_in : float
        Seconds until it serves the newest version that is known there; 0 when it does.
    named : int
        The newest version that is known there, with its age.
    pace : float
        How many times slower than usual it works.
    """

    address: str
    version: int
    serving: bool
    running: int
    waiting: int
    ready_in: float = 0.0
    named: int = 0
    pace: float = 1.0

    @property
    def pressed(self) -> int:
        """Requests on it, running or waiting."""
        return self.running + self.waiting


def back_in(
    news: Iterable[tuple[EngineNews, float]], least_version: int
) -> float | None:
    """Seconds until the first of some engines may run a request; None if unknown.

    Parameters
    ----------
    news : iterable of (EngineNews, float)
        What agents told, and how many seconds ago.
    least_version : int
        Version of the weights that the request needs at least.
    """
    found = []
    for told, age in news:
        if told.serving and told.version >= max(least_version, 1):
            return 0.0
        if told.named >= least_version and told.ready_in > 0:
            found.append(told.ready_in - age)
    return max(0.05, min(found)) if found else None


def worth_telling(last: EngineNews | None, news: EngineNews) -> bool:
    """Whether news differs so much that everyone should hear of it at once."""
    if last is None:
        return True
    if (last.serving, last.version, last.named) != (
        news.serving,
        news.version,
        news.named,
    ):
        return True
    return abs(last.pressed - news.pressed) >= BIG_CHANGE
