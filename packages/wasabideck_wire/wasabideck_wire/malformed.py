"""What is wrong with a peer's message."""

from __future__ import annotations

from wasabideck_policy.outcomes import WasabideckError

__all__ = ["MalformedMessage"]


class MalformedMessage(WasabideckError):
    """A peer's message holds what is no data of the system."""

    def __init__(self, message: str, why: str):
        super().__init__(f"{message}: {why}")
        self.message = message
