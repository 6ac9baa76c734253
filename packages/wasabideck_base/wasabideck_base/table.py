"""Client of the platform's transactional table service."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

import orjson
from attrs import define, frozen

from .http_client import HttpClient
from .http_responses import PlatformRefused, PlatformUnavailable, parse_response

__all__ = ["Check", "CheckFailed", "Table", "Write"]


@frozen
class Check:
    """A condition of a transaction: the row is absent (None) or has these fields."""

    table: str
    key: str
    expected: dict | None


@frozen
class Write:
    """A row that a transaction writes."""

    table: str
    key: str
    row: dict


@frozen
class CheckFailed:
    """The check for which a transaction was not executed, and the row found."""

    check: Check
    found: dict | None


@define
class Table:
    """Rows of JSON objects, identified by table and key."""

    http: HttpClient

    async def get(self, table: str, key: str) -> dict | None:
        """Return one row, or None."""
        params = {"key": key}
        rows = await self.http.json("GET", f"/v1/tables/{table}", params=params)
        return parse_response(table, rows, _first_row)

    async def scan(
        self, table: str, prefix: str = "", above: int = -1
    ) -> list[tuple[str, dict]]:
        """Return the rows with a key prefix and a ``sequence`` above a number."""
        params = {"prefix": prefix, "above": str(above)}
        rows = await self.http.json("GET", f"/v1/tables/{table}", params=params)
        return parse_response(table, rows, _parse_rows)

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CheckFailed | None:
        """Execute all writes if all checks hold; return None if executed.

        Raises
        ------
        PlatformUnavailable
            No response; ``maybe_applied`` says whether the writes may have been
            executed.
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
            if exc.response_status < 500:
                raise
            # The error may come from a proxy in front of the table: the table may
            # have executed the transaction nevertheless.
            raise PlatformUnavailable(exc.url, str(exc), maybe_applied=True) from exc
        if status == 200:
            return None
        return parse_response("transact", data, partial(_parse_failed_check, checks))


def _first_row(rows: list) -> dict | None:
    return _parse_rows(rows)[0][1] if rows else None


def _parse_rows(rows: list) -> list[tuple[str, dict]]:
    pairs = [(key, row) for key, row in rows]
    if not all(type(key) is str and type(row) is dict for key, row in pairs):
        raise TypeError("expected rows of JSON objects with string keys")
    return pairs


def _parse_failed_check(checks: Sequence[Check], data: bytes) -> CheckFailed:
    response = orjson.loads(data)
    return CheckFailed(checks[response["failed"]], response["row"])
