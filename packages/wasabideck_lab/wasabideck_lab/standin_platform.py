"""Stand-ins for the platform: table service, membership list and weight origin."""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter

from aiohttp import web
from attrs import asdict, define, field
from wasabideck_policy.manifests import Manifest, manifest_to_json
from wasabideck_policy.membership import Member

from .faults import FaultInjector
from .link_pacing import Pacer

__all__ = ["MembersStandin", "TableStandin", "OriginStandin"]


@define
class TableStandin:
    """A transactional table; the lab's checks read its rows and counters."""

    faults: FaultInjector
    rows: dict[str, dict[str, dict]] = field(factory=dict)
    reads: int = 0
    writes: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that it serves."""
        return [
            web.post("/v1/transact", self._transact),
            web.get("/v1/tables/{table}", self._scan),
        ]

    async def _scan(self, req: web.Request) -> web.Response:
        self.reads += 1
        await self.faults.apply_delay_or_refuse()
        table = self.rows.get(req.match_info["table"], {})
        if key := req.query.get("key"):
            matches = [(key, table[key])] if key in table else []
            return web.json_response(matches)
        prefix = req.query.get("prefix", "")
        above = int(req.query.get("above", "-1"))
        matches = [
            (key, row)
            for key, row in sorted(table.items())
            if key.startswith(prefix) and row.get("sequence", 0) > above
        ]
        return web.json_response(matches)

    async def _transact(self, req: web.Request) -> web.Response:
        self.writes += 1
        await self.faults.apply_delay_or_refuse()
        body = await req.json()
        if self.faults.occurs("apply_late"):
            asyncio.get_running_loop().call_later(
                self.faults.value("apply_late"), self._apply, body
            )
            return _drop_connection(req)
        response = self._apply(body)
        if self.faults.occurs("lose_answer"):
            return _drop_connection(req)
        return response

    def _apply(self, body: dict) -> web.Response:
        for index, (table, key, expected) in enumerate(body["checks"]):
            row = self.rows.get(table, {}).get(key)
            if not _matches(row, expected):
                return web.json_response({"failed": index, "row": row}, status=409)
        for table, key, row in body["writes"]:
            self.rows.setdefault(table, {})[key] = row
        return web.json_response({})


def _matches(row: dict | None, expected: dict | None) -> bool:
    if row is None or expected is None:
        return row is expected
    return all(row.get(name) == value for name, value in expected.items())


def _drop_connection(req: web.Request) -> web.Response:
    req.transport.abort()
    return web.Response(status=500)


@define
class MembersStandin:
    """The platform's list of VMs; readers see it with a configurable lag."""

    faults: FaultInjector
    _history: list[tuple[float, dict[str, Member]]] = field(
        factory=lambda: [(-math.inf, {})]
    )
    reads: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that it serves."""
        return [web.get("/v1/members", self._list)]

    def put_member(self, member: Member) -> None:
        """Add a VM to the list, or replace its entry."""
        self._append_version(self._history[-1][1] | {member.vm: member})

    def remove_member(self, vm: str) -> None:
        """Remove a VM from the list."""
        newest = dict(self._history[-1][1])
        newest.pop(vm, None)
        self._append_version(newest)

    def current_members(self) -> dict[str, Member]:
        """Return the current list, without the lag."""
        return self._history[-1][1]

    def _append_version(self, members: dict[str, Member]) -> None:
        self._history.append((time.monotonic(), members))

    async def _list(self, req: web.Request) -> web.Response:
        self.reads += 1
        await self.faults.apply_delay_or_refuse()
        visible_until = time.monotonic() - self.faults.value("lag")
        visible = [
            version
            for version in enumerate(self._history)
            if version[1][0] <= visible_until
        ]
        index, (_, members) = visible[-1]
        tag = f'"{index}"'
        if req.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        rows = [asdict(member) for member in members.values()]
        res = web.json_response(rows, headers={"ETag": tag})
        res.enable_compression()
        return res


@define
class OriginStandin:
    """The weight origin behind one link of limited rate; counts the reads."""

    faults: FaultInjector
    pacer: Pacer
    manifests: dict[str, bytes] = field(factory=dict)
    chunks: dict[str, bytes] = field(factory=dict)
    chunk_reads: Counter = field(factory=Counter)
    bytes_read: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that it serves."""
        return [
            web.get("/v1/manifests/{digest}", self._manifest),
            web.get("/v1/chunks/{digest}", self._chunk),
        ]

    def publish(self, manifest: Manifest, chunks: list[bytes]) -> str:
        """Publish the weights of a version, and return the digest of its manifest."""
        self.manifests[manifest.digest] = manifest_to_json(manifest)
        self.chunks.update(zip(manifest.chunks, chunks, strict=True))
        return manifest.digest

    async def _manifest(self, req: web.Request) -> web.Response:
        await self.faults.apply_delay_or_refuse()
        data = self.manifests.get(req.match_info["digest"])
        return web.Response(body=data, status=200 if data else 404)

    async def _chunk(self, req: web.Request) -> web.Response:
        await self.faults.apply_delay_or_refuse()
        digest = req.match_info["digest"]
        data = self.chunks.get(digest)
        if data is None:
            return web.Response(status=404)
        if self.faults.occurs("stall"):
            await asyncio.sleep(3600)
        self.chunk_reads[digest] += 1
        self.bytes_read += len(data)
        await self.pacer.transmit(len(data))
        if self.faults.occurs("corrupt"):
            data = bytes([data[0] ^ 1]) + data[1:]
        return web.Response(body=data)
