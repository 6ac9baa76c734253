"""Retry budget, which prevents an outage from causing a retry storm."""

from __future__ import annotations

from attrs import define

from .admission import SHARE_USED
from .outcomes import NotRun, Outcome, Unknown

__all__ = ["RetryBudget", "is_free_retry", "may_retry"]

# Refusals that another server would repeat, or that the caller itself caused.
_NOT_RETRIED = frozenset(
    {"Cancelled", "DeadlinePassed", "KeyReused", "Quarantined", SHARE_USED}
)
# Refusals that cost no server any work: a retry after one cannot feed a storm.
_FREE_RETRY = frozenset(
    {
        "ArrivedLate",
        "Barred",
        "Leaving",
        "NeverArrived",
        "NotServing",
        "OtherIncarnation",
        "OtherManifest",
        "ServerDown",
        "Unreachable",
    }
)


@define
class RetryBudget:
    """Tokens earned by requests and spent by retries.

    Attributes
    ----------
    ratio : float
        Retries earned by one request.
    max_tokens : float
        Maximum number of tokens.
    """

    ratio: float = 0.1
    max_tokens: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Count one request."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Whether one more retry may be made now; spends a token if so."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(outcome: Outcome, repeatable: bool) -> bool:
    """Whether another server may be tried after this outcome."""
    if isinstance(outcome, NotRun):
        # A refusal without a time for a retry came from the server itself.
        refused = outcome.failure.kind == "ServerRefused" and not outcome.retry_after
        return outcome.failure.kind not in _NOT_RETRIED and not refused
    return isinstance(outcome, Unknown) and repeatable


def is_free_retry(outcome: Outcome) -> bool:
    """Whether a retry after this outcome is not charged to the budget."""
    return isinstance(outcome, NotRun) and outcome.failure.kind in _FREE_RETRY
