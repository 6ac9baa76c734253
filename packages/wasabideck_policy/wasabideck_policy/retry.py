"""A budget of retries, so that an outage causes no retry storm."""

from __future__ import annotations

from attrs import define

__all__ = ["RetryBudget"]


@define
class RetryBudget:
    """Tokens earned by requests and spent by retries.

    Attributes
    ----------
    ratio : float
        Retries earned by one request.
    most : float
        Tokens kept at the most.
    """

    ratio: float = 0.1
    most: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Count one request."""
        self.tokens = min(self.most, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Whether one more retry may be made now."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
