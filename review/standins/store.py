"""The platform's metadata store: rows, changes of rows, and transactions."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from . import http

# An answer of the store takes this long.
ANSWER_SECONDS = 0.004
PAGE_ROWS = 500


class Store:
    """Rows by table and key; it loses nothing, and its answers are linearizable."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.ver = 0
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a server does."""
        self._write([(table, key, json.dumps(value).encode())], [])

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write([], [(table, key)])

    def _write(self, upserts: list, removed: list) -> None:
        self.ver += 1
        for table, key, value in upserts:
            self.rows[table, key] = self._row(table, key, value=value)
        for table, key in removed:
            if (table, key) in self.rows:
                self.rows[table, key] = self._row(table, key, value=None)
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table: str, key: str, value: bytes | None) -> dict:
        row = {"table": table, "part": "", "key": key, "ver": self.ver}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    async def handle(self, req: http.Request) -> http.Response:
        """Answer one call."""
        await asyncio.sleep(ANSWER_SECONDS)
        if req.path == "/-/rows-get":
            return self._answer(self._get(req.query))
        if req.path == "/-/rows-feed":
            return self._answer(await self._feed(req.query))
        if req.path == "/-/rows-tx":
            return self._transact(json.loads(req.body))
        return http.Response(404)

    def _answer(self, rows: list[dict], status: int = 200) -> http.Response:
        more = len(rows) > PAGE_ROWS
        now = int(time.monotonic() * 1000)
        body = {"rows": rows[:PAGE_ROWS], "has-more": more, "ver": self.ver}
        return http.json_response(body | {"now-ms": now}, status)

    def _get(self, query: dict[str, str]) -> list[dict]:
        first, last = query.get("from", ""), query.get("to")
        return [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and "tombstone" not in row
            if key >= first and (last is None or key < last)
        ]

    async def _feed(self, query: dict[str, str]) -> list[dict]:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            rows = [
                row
                for (name, _), row in self.rows.items()
                if name == table and row["ver"] > after
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return sorted(rows, key=lambda row: row["ver"])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> http.Response:
        expected = body.get("expected-rev", [])
        current = [self.rows.get((e["table"], e["key"])) for e in expected]
        for want, row in zip(expected, current, strict=True):
            ver = row["ver"] if row and "tombstone" not in row else 0
            if ver != want["ver"]:
                return self._answer([row for row in current if row], 412)
        names = {entry["table"] for entry in (*body["upserts"], *body["remove"])}
        if names & {"op", "servers"}:
            return http.Response(403)
        self._write(
            [
                (u["table"], u["key"], base64.b64decode(u["value"]))
                for u in body["upserts"]
            ],
            [(r["table"], r["key"]) for r in body["remove"]],
        )
        return self._answer([])
