"""Hedged requests: a second server starts to respond before the first is abandoned."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from .attempts import Attempt
from .server_connection import FailoverRequested

__all__ = ["Replaced", "wait_ignoring_failover", "wait_or_hedge"]

# Interval between searches for a replacement server while the first one sends nothing
# and none is available.
HEDGE_RETRY_INTERVAL_SECONDS = 0.2

T = TypeVar("T")


class Replaced(Exception):
    """Another server has started to respond to the request.

    Attributes
    ----------
    attempt : Attempt
        The attempt at that server; whoever catches this exception owns it.
    failure : BaseException or None
        The failure of the first server, if it failed meanwhile.
    """

    def __init__(self, attempt: Attempt, failure: BaseException | None = None):
        super().__init__(f"{attempt.backend.server} replaces the first server")
        self.attempt = attempt
        self.failure = failure


async def wait_ignoring_failover(wait: Callable[[], Awaitable[T]]) -> T:
    """Return the result of ``wait``, ignoring requests to fail over."""
    while True:
        try:
            return await wait()
        except FailoverRequested:
            continue


async def wait_or_hedge(
    wait: Callable[[], Awaitable[T]],
    find_replacement: Callable[[], Awaitable[Attempt | None]],
    end_attempt: Callable[[Attempt], None],
    close_first: Callable[[], None],
    hold_seconds: float = 0.0,
) -> T:
    """Return the first server's result, unless another server starts to respond first.

    An unresponsive server may be healthy, with its response on the way. So it is
    abandoned when another server responds, and not when the search for one starts.

    Parameters
    ----------
    wait : callable
        Waits for the first server.
    find_replacement : callable
        Returns an attempt at a server that has started to respond; None if there is
        none now.
    end_attempt : callable
        Ends an attempt that is not needed.
    close_first : callable
        Closes the connection to the first server, immediately after its failure.
    hold_seconds : float
        How long a replacement is preferred; the first server's data is held back.

    Raises
    ------
    Replaced
        Another server has started to respond.
    """
    original = asyncio.ensure_future(wait_ignoring_failover(wait))
    search = asyncio.ensure_future(_find_until_done(original, find_replacement))
    handed_over = False
    try:
        if hold_seconds:
            await asyncio.wait({search}, timeout=hold_seconds)
        if not search.done():
            await asyncio.wait({original, search}, return_when=asyncio.FIRST_COMPLETED)
        preferred = hold_seconds and _succeeded(search) and search.result() is not None
        if _succeeded(original) and not preferred:
            return original.result()
        if original.done():
            # The request may have been recalled, and the server must not start it now.
            close_first()
        replacement = await search
        if replacement is None:
            return await original
        handed_over = True
        raise Replaced(replacement, original.exception() if original.done() else None)
    finally:
        original.cancel()
        search.cancel()
        # Nothing is awaited here: a cancellation of the request would cancel that too,
        # and a replacement that was found would never be ended at its server.
        original.add_done_callback(_succeeded)
        if not handed_over:
            search.add_done_callback(partial(_end_unused, end_attempt))


async def _find_until_done(
    original: asyncio.Future, find_replacement: Callable[[], Awaitable[Attempt | None]]
) -> Attempt | None:
    """Search for a replacement until one is found or the first server is done."""
    while True:
        replacement = await find_replacement()
        if replacement is not None or original.done():
            return replacement
        await asyncio.wait({original}, timeout=HEDGE_RETRY_INTERVAL_SECONDS)
        if original.done():
            return None


def _end_unused(end_attempt: Callable[[Attempt], None], search: asyncio.Future) -> None:
    """End the attempt that a search found after it was no longer needed."""
    if _succeeded(search) and search.result() is not None:
        end_attempt(search.result())


def _succeeded(task: asyncio.Future) -> bool:
    """Whether a task has a result; marks its exception as retrieved if not."""
    return task.done() and not task.cancelled() and task.exception() is None
