"""What both binaries share: the loop, the ready line, the graceful stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from functools import partial

import orjson
import uvloop
from wasabideck_policy.outcomes import WasabideckError

from .events import Events
from .tls import Keys, KeysUnusable

__all__ = [
    "AddressUnusable",
    "announce_ready",
    "binding",
    "cancel_all",
    "every",
    "first_of",
    "repeating",
    "reread_keys",
    "run_process",
]

Step = Callable[[], Awaitable[None]]

STOPS = (signal.SIGTERM, signal.SIGINT)
KEYS_SECONDS = 1.0
CANCEL_SECONDS = 2.0


def run_process(main: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run a process on uvloop until it has stopped gracefully.

    ``main`` is given an event that SIGTERM or SIGINT sets, and returns when all
    requests in progress have been finished.
    """

    async def body() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in STOPS:
            loop.add_signal_handler(signum, stop.set)
        try:
            await main(stop)
        finally:
            _ignore_stops(loop)

    uvloop.run(body())


def _ignore_stops(loop: asyncio.AbstractEventLoop) -> None:
    """Leave a second SIGTERM without effect.

    The loop gives the signals back as it closes: one that came between that and the
    end of the process would turn a graceful stop into a death by signal, which
    whoever rolls the fleet reads as a crash. They are blocked while the handlers
    change hands.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOPS)
    for signum in STOPS:
        loop.remove_signal_handler(signum)
        signal.signal(signum, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOPS)


def reread_keys(keys: Keys | None, events: Events) -> list[Coroutine]:
    """The loop that takes replaced key files in, if there are any keys."""

    async def step() -> None:
        try:
            if keys.refresh():
                events.emit("keys.reread", certificate=keys.files.certificate)
        except KeysUnusable as exc:
            events.emit("keys.unusable", why=str(exc))

    return [every(KEYS_SECONDS, step)] if keys else []


class AddressUnusable(WasabideckError):
    """An address of the settings cannot be listened on; mostly it is taken."""

    def __init__(self, address: str, why: str):
        super().__init__(f"{address}: {why}")
        self.address = address


@contextmanager
def binding(address: str) -> Iterator[None]:
    """Turn a failure to listen on an address into ``AddressUnusable``."""
    try:
        yield
    except OSError as exc:
        raise AddressUnusable(address, exc.strerror or str(exc)) from exc


def announce_ready(**fields: object) -> None:
    """Print the one line that says which addresses were bound."""
    sys.stdout.write(orjson.dumps({"ready": fields}).decode() + "\n")
    sys.stdout.flush()


def repeating(events: Events) -> Callable[[float, Step], Coroutine]:
    """A form of ``every`` that writes an event for a step's typed failure."""

    def failed(exc: WasabideckError) -> None:
        events.emit("loop.failed", why=f"{type(exc).__name__}: {exc}")

    return partial(every, failed=failed)


async def every(
    seconds: float,
    step: Step,
    failed: Callable[[WasabideckError], None] = lambda exc: None,
) -> None:
    """Repeat a step for ever, with a pause between the end and the next begin.

    A typed failure is told to ``failed``, and the next step is tried: what the
    platform or a peer answers must not end the process, least of all on every VM at
    the same moment. Any other error is a fault of the program and goes on up.
    """
    while True:
        try:
            await step()
        except WasabideckError as exc:
            failed(exc)
        await asyncio.sleep(seconds)


async def first_of(stop: asyncio.Event, tasks: list[asyncio.Task]) -> None:
    """Wait for the stop; a loop that ended has failed, and its error is raised."""
    stopped = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait({stopped, *tasks}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    for task in done - {stopped}:
        task.result()


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended, so that none uses what closes.

    Not for ever: a task that swallows its cancellation must not keep a VM from
    being replaced.
    """
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks, timeout=CANCEL_SECONDS)
