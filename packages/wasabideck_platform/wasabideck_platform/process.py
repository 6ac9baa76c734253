"""What both binaries share: the loop, the ready line, the graceful stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

import orjson
import uvloop

__all__ = ["announce_ready", "every", "first_of", "run_process"]


def run_process(main: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run a process on uvloop until it has stopped gracefully.

    ``main`` is given an event that SIGTERM or SIGINT sets, and returns when all
    requests in progress have been finished.
    """

    async def body() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        await main(stop)

    uvloop.run(body())


def announce_ready(**fields: object) -> None:
    """Print the one line that says which addresses were bound."""
    sys.stdout.write(orjson.dumps({"ready": fields}).decode() + "\n")
    sys.stdout.flush()


async def every(seconds: float, step: Callable[[], Awaitable[None]]) -> None:
    """Repeat a step for ever, with a pause between the end and the next begin."""
    while True:
        await step()
        await asyncio.sleep(seconds)


async def first_of(stop: asyncio.Event, tasks: list[asyncio.Task]) -> None:
    """Wait for the stop; a loop that ended has failed, and its error is raised."""
    stopped = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait({stopped, *tasks}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    for task in done - {stopped}:
        task.result()
