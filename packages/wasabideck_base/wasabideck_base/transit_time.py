"""How long responses of the store travelled, by its own clock."""

from __future__ import annotations

from attrs import define

__all__ = ["TransitTime"]

# Maximum drift between two steady clocks, in seconds per second.
MAX_CLOCK_DRIFT_RATIO = 2e-4


@define
class TransitTime:
    """Compares the store's clock with this process's at each response.

    The smallest difference so far is that of the fastest response: how much longer
    another one travelled is known only against it.
    """

    _min_offset: float = float("inf")
    _offset_at: float = float("-inf")

    def excess(
        self, store_responded_at: float | None, requested_at: float, now: float
    ) -> float:
        """Return a response's transit time in excess of the shortest one so far.

        Parameters
        ----------
        store_responded_at : float or None
            When the store responded by its own clock; None if it did not report that.
        requested_at, now : float
            When the call was made, and when its response arrived, seconds.
        """
        if store_responded_at is None:
            return 0.0
        offset = now - store_responded_at
        drift = MAX_CLOCK_DRIFT_RATIO * (now - self._offset_at)
        self._min_offset = min(self._min_offset + max(0.0, drift), offset)
        self._offset_at = now
        if offset - self._min_offset > now - requested_at:
            # Longer than the whole call: the store's clock has changed.
            self._min_offset = offset
        return offset - self._min_offset
