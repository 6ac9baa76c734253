"""The error for a malformed message of a peer."""

from __future__ import annotations

from wasabideck_policy.outcomes import WasabideckError

__all__ = ["MalformedMessage"]


class MalformedMessage(WasabideckError):
    """A peer's message contains invalid data; names the message."""

    def __init__(self, message: str, why: str):
        super().__init__(f"{message}: {why}")
        self.message = message
