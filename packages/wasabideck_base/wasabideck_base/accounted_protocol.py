"""Accounts for the connections of a server that a library implements."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .connection_budget import (
    ACCEPTED_CONNECTION_BYTES,
    RELEASE_SECONDS,
    ConnectionBudget,
    Limit,
    Usage,
)
from .kernel_buffers import KERNEL_BUFFER_BYTES

__all__ = ["PART_BYTES", "AccountedProtocol"]

# Input that is passed on in one iteration of the event loop. A library parses all that
# it is given, keeps what it finds in objects of many times that size, and other
# connections wait meanwhile.
PART_BYTES = 2048


class AccountedProtocol(asyncio.Protocol):
    """Passes a transport's events on to another protocol, and reports what it holds.

    Parameters
    ----------
    held_bytes : callable
        Returns the memory that the other protocol holds, without the transport's.
    is_excessive : callable
        Returns whether the peer sent more than the protocol has to bear; its connection
        is aborted then.
    part_bytes : callable or None
        Returns how much input is passed on at once; None for all of it, to a protocol
        that pauses reading itself.
    is_answered : callable
        Returns whether a request on the connection has been answered.
    release : callable
        Releases what the other protocol still holds after its connection was lost.
    """

    def __init__(
        self,
        protocol: asyncio.Protocol,
        budget: ConnectionBudget,
        listener: str,
        clock: Callable[[], float],
        held_bytes: Callable[[], int],
        is_excessive: Callable[[float], bool] = lambda now: False,
        part_bytes: Callable[[], int] | None = lambda: PART_BYTES,
        is_answered: Callable[[], bool] = lambda: False,
        release: Callable[[], object] = lambda: None,
    ):
        self._protocol = protocol
        self._budget = budget
        self._listener = listener
        self._clock = clock
        self._held_bytes = held_bytes
        self._is_excessive = is_excessive
        self._part_bytes = part_bytes
        self._is_answered = is_answered
        self._release = release
        self._input = bytearray()
        self._usage: Usage | None = None
        self._transport: asyncio.Transport | None = None
        self._unwritten_bytes = 0
        self._reading_paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        now = self._clock()
        self._usage = self._budget.open(
            self._listener, self._turn_away, now, self.report
        )
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: D102
        self._input.clear()
        self._protocol.connection_lost(exc)
        # The tasks that it cancels end in the next iterations of the loop.
        asyncio.get_running_loop().call_later(RELEASE_SECONDS, self._on_released)

    def _on_released(self) -> None:
        self._release()
        self._budget.release(self._usage)

    def data_received(self, data: bytes) -> None:
        """Pass input on, in several iterations of the loop if there is much of it."""
        self._usage.progress_at = self._clock()
        waits = bool(self._input)
        self._input += data
        if not waits:
            self._pass_on()

    def _pass_on(self) -> None:
        """Pass on one part; the next one has its turn when the loop comes round."""
        if self._transport.is_closing():
            self._input.clear()
            return
        loop = asyncio.get_running_loop()
        if self._budget.is_exhausted:
            self._pause_reading()
            loop.call_later(RELEASE_SECONDS, self._pass_on)
            return
        size = self._part_bytes() if self._part_bytes else len(self._input)
        part = bytes(self._input[:size])
        del self._input[:size]
        if self._input:
            self._pause_reading()
            loop.call_soon(self._pass_on)
        else:
            # The other protocol may pause reading itself.
            self._resume_reading()
        self._protocol.data_received(part)
        now = self._clock()
        if self._is_excessive(now):
            self._budget.on_turned_away(self._usage, Limit.RATE, now)
            self._turn_away(False)
        else:
            self.report()

    def _pause_reading(self) -> None:
        self._reading_paused = True
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._reading_paused = False
        self._transport.resume_reading()

    def eof_received(self) -> bool | None:  # noqa: D102
        return self._protocol.eof_received()

    def pause_writing(self) -> None:  # noqa: D102
        self._protocol.pause_writing()
        self.report()

    def resume_writing(self) -> None:  # noqa: D102
        self._protocol.resume_writing()
        self.report()

    def report(self) -> None:
        """Report to the budget what the connection holds."""
        unwritten = self._transport.get_write_buffer_size()
        now = self._clock()
        if unwritten < self._unwritten_bytes:
            self._usage.progress_at = now
        self._unwritten_bytes = unwritten
        if self._is_answered():
            self._budget.record_answered(self._usage)
        held = ACCEPTED_CONNECTION_BYTES + unwritten + len(self._input)
        held += self._held_bytes()
        if self._reading_paused:
            held += KERNEL_BUFFER_BYTES
        self._budget.report(self._usage, held, now)

    def _turn_away(self, lingers: bool) -> None:
        self._input.clear()
        self._transport.abort()
        self._budget.abort(self._usage)
