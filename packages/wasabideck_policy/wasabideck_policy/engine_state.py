"""An engine's report of its own state, and its response to an order."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from .backends import LoadedLayers

__all__ = ["EngineState", "OrderResponse"]


class OrderResponse(Enum):
    """An engine's response to an order to load weights."""

    STARTED = "begun"
    IN_EFFECT = "in-effect"
    REFUSED = "refused"


@frozen
class EngineState:
    """State of an engine as reported by itself.

    Attributes
    ----------
    loaded : tuple of LoadedLayers
        Ranges of layers that it holds.
    order_in_progress : bool
        Whether an order is in progress.
    accepted_orders : int
        Orders that it has accepted since it started.
    running, waiting : int
        Number of requests.
    memory_used, memory_total : float
        Used and total size of its memory, in tokens times layers.
    slowdown : float
        Factor by which it is slower than usual.
    started_at_ms : int
        Start time, milliseconds of wall time.
    """

    loaded: tuple[LoadedLayers, ...] = ()
    order_in_progress: bool = False
    accepted_orders: int = 0
    running: int = 0
    waiting: int = 0
    memory_used: float = 0.0
    memory_total: float = 0.0
    slowdown: float = 1.0
    started_at_ms: int = 0
