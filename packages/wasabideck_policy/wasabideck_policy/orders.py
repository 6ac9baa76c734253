"""When an engine may be ordered, and when what it serves may be served."""

from __future__ import annotations

from attrs import define, field, frozen

from .wants import Wanted

__all__ = [
    "OrderBook",
    "Serving",
    "gate_open",
    "matches",
    "order_due",
    "ordered_by",
]

# An order whose answer was lost takes effect within this time, or never.
SETTLE_SECONDS = 10.0


@frozen
class Serving:
    """What an engine says that it serves.

    Attributes
    ----------
    fence : int
        Fencing number of the order that loaded it: the ticket's number.
    adapters : dict of str to str
        Manifest of each adapter beside the model, by its name.
    """

    fence: int = 0
    model: str = ""
    version: str = ""
    manifest: str = ""
    engine_role: str = "mixed"
    adapters: dict[str, str] = field(factory=dict)


def ordered_by(wanted: Wanted) -> Serving:
    """What an engine serves once it has carried a ticket out."""
    change = wanted.change
    return Serving(
        wanted.ticket,
        change.model,
        change.version,
        change.manifest,
        change.engine_role,
        wanted.adapters if change.manifest else {},
    )


def matches(serving: Serving, wanted: Wanted) -> bool:
    """Whether an engine serves just what its tickets name."""
    return serving == ordered_by(wanted)


def gate_open(serving: Serving, wanted: Wanted | None, highest: int) -> bool:
    """Whether requests may be given to an engine.

    Open for what the ticket names, and under cutover ``keep`` for the version of an
    earlier ticket until the swap.

    Parameters
    ----------
    highest : int
        Highest fencing number that the engine was ever seen with. An engine that
        ignores fencing numbers and carries a lost order out late falls behind it;
        what it serves then is neither the present version nor the former one.
    """
    if wanted is None or not wanted.change.manifest or not serving.manifest:
        return False
    if serving.fence < highest or serving.fence > wanted.ticket:
        return False
    if serving.fence == wanted.ticket:
        return matches(serving, wanted)
    return serving.fence > 0 and wanted.keeps(serving.fence)


def order_due(serving: Serving, wanted: Wanted) -> bool:
    """Whether an engine is to be ordered.

    Never less than it has: a higher number means that this process's state is old,
    as after a start from peers that were frozen.
    """
    return serving.fence <= wanted.ticket and not matches(serving, wanted)


@define
class OrderBook:
    """What is known of an engine's orders.

    At most one order is in flight. An engine that ignores fencing numbers may carry
    out an order whose answer was lost after the next one, and so revert. The next
    one is held back until the lost order was seen in force, or its time is over.

    Attributes
    ----------
    checks_fencing : bool
        Whether the engine refuses old fencing numbers, so that none of it matters.
    highest : int
        Highest fencing number that the engine was seen with.
    """

    checks_fencing: bool = False
    highest: int = 0
    _lost: int | None = None
    _settled_at: float = 0.0

    def begin(self, serving: Serving, now: float) -> None:
        """Take over an engine; an agent before this one may have lost an order."""
        if serving.fence and not self.checks_fencing:
            self._settled_at = now + SETTLE_SECONDS

    def lose(self, fence: int, now: float) -> None:
        """Note an order whose answer was lost."""
        self._lost = fence
        self._settled_at = now + SETTLE_SECONDS

    def see(self, serving: Serving) -> None:
        """Note what the engine serves."""
        self.highest = max(self.highest, serving.fence)
        if self._lost is not None and serving.fence == self._lost:
            self._lost, self._settled_at = None, 0.0

    def settled(self, now: float) -> bool:
        """Whether the next order may be sent."""
        return self.checks_fencing or now >= self._settled_at
