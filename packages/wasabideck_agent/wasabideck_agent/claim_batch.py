"""Writes of claims that arrive together share one transaction."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.table import Check, CheckFailed, Table, Write

__all__ = ["ClaimBatch"]

MOST_TOGETHER = 64
MOST_SENDERS = 2


@define(eq=False)
class _Job:
    check: Check
    write: Write
    done: asyncio.Future


@define
class ClaimBatch:
    """Carries out conditional writes of single rows, many in one transaction.

    Nothing waits for company: a write goes out at once while few transactions are
    under way, and whatever arrives meanwhile goes out together with the next.

    Attributes
    ----------
    together : int
        Rows of one transaction at the most.
    senders : int
        Transactions under way at the most.
    transactions, rows : int
        How many of each were sent.
    """

    table: Table
    transactions: int = 0
    rows: int = 0
    together: int = MOST_TOGETHER
    senders: int = MOST_SENDERS
    _jobs: list[_Job] = field(factory=list)
    _sending: set[asyncio.Task] = field(factory=set)

    async def put(self, check: Check, write: Write) -> CheckFailed | None:
        """Write a row if its check holds; None when done.

        Raises
        ------
        PlatformUnavailable
            No answer; its ``maybe_applied`` tells whether the write may stand.
        """
        job = _Job(check, write, asyncio.get_running_loop().create_future())
        self._jobs.append(job)
        if len(self._sending) < self.senders:
            sender = asyncio.create_task(self._send_all())
            self._sending.add(sender)
            sender.add_done_callback(self._sending.discard)
        # The write goes on when whoever asked for it is cancelled.
        return await asyncio.shield(job.done)

    async def _send_all(self) -> None:
        while batch := self._next():
            await self._send(batch)

    def _next(self) -> list[_Job]:
        """Jobs of distinct rows: two checks of one row cannot both hold."""
        batch: dict[str, _Job] = {}
        for job in self._jobs:
            if len(batch) < self.together and job.check.key not in batch:
                batch[job.check.key] = job
        chosen = {id(job) for job in batch.values()}
        self._jobs = [job for job in self._jobs if id(job) not in chosen]
        return list(batch.values())

    async def _send(self, batch: list[_Job]) -> None:
        """Carry out a batch; a row whose check fails is told and left out."""
        while batch:
            self.transactions += 1
            self.rows += len(batch)
            try:
                failed = await self.table.transact(
                    [job.check for job in batch], [job.write for job in batch]
                )
            except PlatformUnavailable as exc:
                _tell(batch, lambda job, exc=exc: job.done.set_exception(_copy(exc)))
                return
            except Exception as exc:
                # Anything else would leave every caller of the batch waiting.
                _tell(batch, lambda job, exc=exc: job.done.set_exception(exc))
                return
            if failed is None:
                _tell(batch, lambda job: job.done.set_result(None))
                return
            loser = next(job for job in batch if job.check is failed.check)
            _tell([loser], lambda job, failed=failed: job.done.set_result(failed))
            batch = [job for job in batch if job is not loser]


def _copy(exc: PlatformUnavailable) -> PlatformUnavailable:
    """One exception each: several tasks would add their frames to a shared one."""
    return PlatformUnavailable(exc.url, "the batch got no answer", exc.maybe_applied)


def _tell(jobs: list[_Job], tell: Callable[[_Job], None]) -> None:
    for job in jobs:
        if not job.done.done():
            tell(job)
            # Whoever asked may be cancelled by now, and would never fetch it.
            job.done.exception()
