"""What an engine says of itself, and how it answers an order."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from .backends import Loaded

__all__ = ["EngineState", "OrderAnswer"]


class OrderAnswer(Enum):
    """How an engine took an order."""

    BEGUN = "begun"
    IN_EFFECT = "in-effect"
    REFUSED = "refused"


@frozen
class EngineState:
    """An engine's own report.

    Attributes
    ----------
    loaded : tuple of Loaded
        Layers that it holds.
    busy : bool
        Whether an order is in progress.
    orders : int
        Orders that it has accepted since it started.
    running, waiting : int
        Requests.
    memory_used, memory_total : float
        Tokens times layers that its memory holds, and can hold.
    pace : float
        How many times slower than usual it works.
    born : int
        When it started, milliseconds of wall time.
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
