"""Batching of concurrent claim writes into shared transactions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.table import Check, CheckFailed, Table, Write

__all__ = ["ClaimBatch"]

MAX_BATCH_ROWS = 64
MAX_SENDERS = 2


@define(eq=False)
class _PendingWrite:
    check: Check
    write: Write
    done: asyncio.Future


@define
class ClaimBatch:
    """Executes conditional writes of single rows, many in one transaction.

    No write is delayed to fill a batch: it is sent at once while fewer than
    ``max_senders`` transactions are in flight. Writes that arrive in the meantime are
    sent together in the next transaction.

    Attributes
    ----------
    max_rows : int
        Maximum number of rows in one transaction.
    max_senders : int
        Maximum number of transactions in flight.
    transactions, rows : int
        Number of transactions and rows sent so far.
    """

    table: Table
    transactions: int = 0
    rows: int = 0
    max_rows: int = MAX_BATCH_ROWS
    max_senders: int = MAX_SENDERS
    _pending: list[_PendingWrite] = field(factory=list)
    _sender_tasks: set[asyncio.Task] = field(factory=set)

    async def put(self, check: Check, write: Write) -> CheckFailed | None:
        """Write a row if its check holds; return None when it is written.

        Raises
        ------
        PlatformUnavailable
            There was no response; ``maybe_applied`` says whether the write may have
            taken effect.
        """
        pending = _PendingWrite(
            check, write, asyncio.get_running_loop().create_future()
        )
        self._pending.append(pending)
        if len(self._sender_tasks) < self.max_senders:
            sender = asyncio.create_task(self._send_all())
            self._sender_tasks.add(sender)
            sender.add_done_callback(self._sender_tasks.discard)
        # The write continues when the task that requested it is cancelled.
        return await asyncio.shield(pending.done)

    async def _send_all(self) -> None:
        while batch := self._next_batch():
            await self._send(batch)

    def _next_batch(self) -> list[_PendingWrite]:
        """Remove and return writes of distinct rows.

        Two checks of the same row cannot both hold.
        """
        batch: dict[str, _PendingWrite] = {}
        for pending in self._pending:
            if len(batch) < self.max_rows and pending.check.key not in batch:
                batch[pending.check.key] = pending
        chosen = {id(pending) for pending in batch.values()}
        self._pending = [
            pending for pending in self._pending if id(pending) not in chosen
        ]
        return list(batch.values())

    async def _send(self, batch: list[_PendingWrite]) -> None:
        """Send a batch; repeat it without each row whose check fails."""
        while batch:
            self.transactions += 1
            self.rows += len(batch)
            try:
                failed = await self.table.transact(
                    [pending.check for pending in batch],
                    [pending.write for pending in batch],
                )
            except PlatformUnavailable as exc:
                _resolve(
                    batch,
                    lambda pending, exc=exc: pending.done.set_exception(_copy(exc)),
                )
                return
            except Exception as exc:
                # An unexpected error must not leave the callers of the batch waiting.
                _resolve(
                    batch, lambda pending, exc=exc: pending.done.set_exception(exc)
                )
                return
            if failed is None:
                _resolve(batch, lambda pending: pending.done.set_result(None))
                return
            rejected = next(
                pending for pending in batch if pending.check is failed.check
            )
            _resolve(
                [rejected],
                lambda pending, failed=failed: pending.done.set_result(failed),
            )
            batch = [pending for pending in batch if pending is not rejected]


def _copy(exc: PlatformUnavailable) -> PlatformUnavailable:
    """Return a separate exception for one of the tasks that wait for a batch.

    Several tasks would add their frames to the traceback of a shared exception.
    """
    return PlatformUnavailable(
        exc.url, "the transaction got no response", exc.maybe_applied
    )


def _resolve(
    batch: list[_PendingWrite], set_outcome: Callable[[_PendingWrite], None]
) -> None:
    for pending in batch:
        if not pending.done.done():
            set_outcome(pending)
            # Mark the exception as retrieved: the task that waited for it may have
            # been cancelled.
            pending.done.exception()
