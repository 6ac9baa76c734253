"""Process helpers of all binaries: event loop, ready line, graceful shutdown."""

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
from .tls import KeysUnusable, TlsContexts

__all__ = [
    "AddressUnusable",
    "announce_ready",
    "convert_bind_errors",
    "cancel_and_wait",
    "run_periodically",
    "wait_until_stopped",
    "periodic_with_events",
    "key_reload_loops",
    "run_process",
]

Step = Callable[[], Awaitable[None]]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
KEY_RELOAD_INTERVAL_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 2.0


def run_process(main: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run ``main`` on uvloop until the process has shut down gracefully.

    ``main`` receives an event that SIGTERM or SIGINT sets. It returns once all
    requests in progress have finished.
    """

    async def run_main() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in STOP_SIGNALS:
            loop.add_signal_handler(signum, stop.set)
        try:
            await main(stop)
        finally:
            _ignore_stop_signals(loop)

    uvloop.run(run_main())


def _ignore_stop_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore any further SIGTERM or SIGINT.

    The loop restores the default signal handlers when it closes. A signal between
    that and the end of the process would kill the process during a graceful
    shutdown, which deployment tools report as a crash. The signals are blocked
    while the handlers are replaced.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    for signum in STOP_SIGNALS:
        loop.remove_signal_handler(signum)
        signal.signal(signum, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)


def key_reload_loops(keys: TlsContexts | None, events: Events) -> list[Coroutine]:
    """Return the loop that reloads replaced key files; empty without TLS keys."""

    async def step() -> None:
        try:
            if keys.reload_if_changed():
                events.emit("keys.reread", certificate=keys.files.certificate)
        except KeysUnusable as exc:
            events.emit("keys.unusable", why=str(exc))

    return [run_periodically(KEY_RELOAD_INTERVAL_SECONDS, step)] if keys else []


class AddressUnusable(WasabideckError):
    """A configured address cannot be listened on, mostly because it is in use."""

    def __init__(self, address: str, why: str):
        super().__init__(f"{address}: {why}")
        self.address = address


@contextmanager
def convert_bind_errors(address: str) -> Iterator[None]:
    """Convert an ``OSError`` from listening on an address to ``AddressUnusable``."""
    try:
        yield
    except OSError as exc:
        raise AddressUnusable(address, exc.strerror or str(exc)) from exc


def announce_ready(**fields: object) -> None:
    """Print a single JSON line that reports the bound addresses."""
    sys.stdout.write(orjson.dumps({"ready": fields}).decode() + "\n")
    sys.stdout.flush()


def periodic_with_events(events: Events) -> Callable[[float, Step], Coroutine]:
    """Return ``run_periodically`` with typed failures of a step reported as events."""

    def failed(exc: WasabideckError) -> None:
        events.emit("loop.failed", why=f"{type(exc).__name__}: {exc}")

    return partial(run_periodically, failed=failed)


async def run_periodically(
    seconds: float,
    step: Step,
    failed: Callable[[WasabideckError], None] = lambda exc: None,
) -> None:
    """Run a step forever, waiting ``seconds`` between its end and the next start.

    A typed failure is passed to ``failed`` and the loop continues: a response of the
    platform or of a peer must not terminate the process, least of all on every VM at
    the same moment. Any other exception is a bug and propagates to the caller.
    """
    while True:
        try:
            await step()
        except WasabideckError as exc:
            failed(exc)
        await asyncio.sleep(seconds)


async def wait_until_stopped(stop: asyncio.Event, tasks: list[asyncio.Task]) -> None:
    """Wait for the stop event; raise the error of any task that ends before it."""
    stop_wait = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait(
        {stop_wait, *tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    stop_wait.cancel()
    for task in done - {stop_wait}:
        task.result()


async def cancel_and_wait(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait for them, so that none uses a resource that is closed.

    The wait is limited to ``CANCEL_TIMEOUT_SECONDS``: a task that suppresses its
    cancellation must not prevent a VM from being replaced.
    """
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_SECONDS)
