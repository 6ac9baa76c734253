"""When orders may be sent to an engine, and when it may be given requests."""

from __future__ import annotations

from attrs import define, field, frozen

from .desired_weights import DesiredWeights

__all__ = [
    "OrderState",
    "Serving",
    "may_serve",
    "serves_desired",
    "order_due",
    "expected_serving",
]

# An order whose response was lost takes effect within this time, or not at all.
LOST_ORDER_SECONDS = 10.0


@frozen
class Serving:
    """What an engine reports that it serves.

    Attributes
    ----------
    fence : int
        Fencing token of the order that loaded it: the ticket's number.
    adapters : dict of str to str
        Manifest of each adapter loaded in addition to the model, by its name.
    """

    fence: int = 0
    model: str = ""
    version: str = ""
    manifest: str = ""
    engine_role: str = "mixed"
    adapters: dict[str, str] = field(factory=dict)


def expected_serving(wanted: DesiredWeights) -> Serving:
    """Return what an engine serves once it has executed a ticket's order."""
    change = wanted.change
    return Serving(
        wanted.ticket,
        change.model,
        change.version,
        change.manifest,
        change.engine_role,
        wanted.adapters if change.manifest else {},
    )


def serves_desired(serving: Serving, wanted: DesiredWeights) -> bool:
    """Whether an engine serves exactly what its tickets declare."""
    return serving == expected_serving(wanted)


def may_serve(serving: Serving, wanted: DesiredWeights | None, highest: int) -> bool:
    """Whether requests may be sent to an engine.

    They may if the engine serves what the ticket declares and, with the cutover
    ``keep``, if it still serves the version of an earlier ticket before the swap.

    Parameters
    ----------
    highest : int
        Highest fencing token that the engine has ever reported. If an engine ignores
        fencing tokens and executes a lost order late, it reports a lower one. It then
        serves neither the present version nor the former one.
    """
    if wanted is None or not wanted.change.manifest or not serving.manifest:
        return False
    if serving.fence < highest or serving.fence > wanted.ticket:
        return False
    if serving.fence == wanted.ticket:
        return serves_desired(serving, wanted)
    return serving.fence > 0 and wanted.may_serve_former(serving.fence)


def order_due(serving: Serving, wanted: DesiredWeights) -> bool:
    """Whether an order has to be sent to an engine.

    An engine with a higher fencing token than the ticket's number gets no order: its
    token means that the state of this process is outdated, for example after a start
    with the state of peers that had been paused.
    """
    return serving.fence <= wanted.ticket and not serves_desired(serving, wanted)


@define
class OrderState:
    """The state of an engine's orders.

    At most one order is in flight. If the response to an order was lost, an engine
    that ignores fencing tokens might execute the order after the next one, and so
    revert it. The next order is therefore delayed until the lost order is known to be
    in effect, or until it can no longer take effect.

    Attributes
    ----------
    checks_fencing : bool
        Whether the engine refuses old fencing tokens, so that orders need no delay.
    highest_fence : int
        Highest fencing token that the engine has reported.
    """

    checks_fencing: bool = False
    highest_fence: int = 0
    _lost: int | None = None
    _settled_at: float = 0.0

    def start(self, serving: Serving, now: float) -> None:
        """Start to control an engine.

        An earlier agent may have sent an order whose response was lost.
        """
        if serving.fence and not self.checks_fencing:
            self._settled_at = now + LOST_ORDER_SECONDS

    def record_lost(self, fence: int, now: float) -> None:
        """Record an order whose response was lost."""
        self._lost = fence
        self._settled_at = now + LOST_ORDER_SECONDS

    def record_serving(self, serving: Serving) -> None:
        """Record what the engine serves."""
        self.highest_fence = max(self.highest_fence, serving.fence)
        if self._lost is not None and serving.fence == self._lost:
            self._lost, self._settled_at = None, 0.0

    def may_send(self, now: float) -> bool:
        """Whether the next order may be sent."""
        return self.checks_fencing or now >= self._settled_at
