"""An engine's report of its own state, and its response to an order."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from .backends import Loaded

__all__ = ["EngineState", "OrderAnswer"]


class OrderAnswer(Enum):
    """An engine's response to an order to load weights."""

    BEGUN = "begun"
    IN_EFFECT = "in-effect"
    REFUSED = "refused"


@frozen
class EngineState:
    """State of an engine as reported by itself.

    Attributes
    ----------
    loaded : tuple of Loaded
        Ranges of layers that it holds.
    busy : bool
        Whether an order is in progress.
    orders : int
        Orders that it has accepted since it started.
    running, waiting : int
        Number of requests.
    memory_used, memory_total : float
        Used and total size of its memory, in tokens times layers.
    pace : float
        Factor by which it is slower than usual.
    born : int
        Start time, milliseconds of wall time.
    """

    loaded: tuple[Loaded, ...] = ()
    busy: bool = False
    orders: int = 0
    running: int = 0
    waiting: int = 0
    memory_used: float = 0.0
    memory_total: float = 0.0
    pace: float = 1.0
    born: int = 0
