"""Client of the platform's transactional table service."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

import orjson
from attrs import define, frozen

from .http import HttpClient
from .http_answers import PlatformRefused, PlatformUnavailable, understood

__all__ = ["Check", "CheckFailed", "Table", "Write"]


@frozen
class Check:
    """A condition of a transaction: the row is absent (None) or has these fields."""

    table: str
    key: str
    expected: dict | None


@frozen
class Write:
    """A row put by a transaction."""

    table: str
    key: str
    row: dict


@frozen
class CheckFailed:
    """A transaction was not carried out; the row that stood against it."""

    check: Check
    found: dict | None


@define
class Table:
    """Rows of JSON by table and key."""

    http: HttpClient

    async def get(self, table: str, key: str) -> dict | None:
        """One row, or None."""
        params = {"key": key}
        rows = await self.http.json("GET", f"/v1/tables/{table}", params=params)
        return understood(table, rows, _only)

    async def scan(
        self, table: str, prefix: str = "", above: int = -1
    ) -> list[tuple[str, dict]]:
        """Rows whose key has the prefix and whose ``sequence`` is above a number."""
        params = {"prefix": prefix, "above": str(above)}
        rows = await self.http.json("GET", f"/v1/tables/{table}", params=params)
        return understood(table, rows, _pairs)

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CheckFailed | None:
        """Carry out all writes if all checks hold; None when done.

        Raises
        ------
        PlatformUnavailable
            No answer; its ``maybe_applied`` tells whether the writes may stand.
        """
        body = {
            "checks": [[c.table, c.key, c.expected] for c in checks],
            "writes": [[w.table, w.key, w.row] for w in writes],
        }
        try:
            status, data = await self.http.call(
                "POST", "/v1/transact", orjson.dumps(body), accept=(200, 409)
            )
        except PlatformRefused as exc:
            if exc.answer_status < 500:
                raise
            # An error in front of the table says nothing of what happened behind.
            raise PlatformUnavailable(exc.url, str(exc), maybe_applied=True) from exc
        if status == 200:
            return None
        return understood("transact", data, partial(_check_failed, checks))


def _only(rows: list) -> dict | None:
    return _pairs(rows)[0][1] if rows else None


def _pairs(rows: list) -> list[tuple[str, dict]]:
    pairs = [(key, row) for key, row in rows]
    if not all(type(key) is str and type(row) is dict for key, row in pairs):
        raise TypeError("rows of JSON needed")
    return pairs


def _check_failed(checks: Sequence[Check], data: bytes) -> CheckFailed:
    answer = orjson.loads(data)
    return CheckFailed(checks[answer["failed"]], answer["row"])
