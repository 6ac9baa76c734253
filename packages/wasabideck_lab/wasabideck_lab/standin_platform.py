"""Stand-ins for the platform: table service, membership list, weight origin."""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter

from aiohttp import web
from attrs import asdict, define, field
from wasabideck_policy.manifests import Manifest, manifest_to_json
from wasabideck_policy.membership import Member

from .faults import Faults
from .pacing import Pacer

__all__ = ["MembersStandin", "TableStandin", "WeightsStandin"]


@define
class TableStandin:
    """A transactional table; its rows and counts are the lab's books."""

    faults: Faults
    rows: dict[str, dict[str, dict]] = field(factory=dict)
    reads: int = 0
    writes: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Routes that it serves."""
        return [
            web.post("/v1/transact", self._transact),
            web.get("/v1/tables/{table}", self._scan),
        ]

    async def _scan(self, req: web.Request) -> web.Response:
        self.reads += 1
        await self.faults.delay()
        table = self.rows.get(req.match_info["table"], {})
        if key := req.query.get("key"):
            found = [(key, table[key])] if key in table else []
            return web.json_response(found)
        prefix = req.query.get("prefix", "")
        above = int(req.query.get("above", "-1"))
        found = [
            (key, row)
            for key, row in sorted(table.items())
            if key.startswith(prefix) and row.get("sequence", 0) > above
        ]
        return web.json_response(found)

    async def _transact(self, req: web.Request) -> web.Response:
        self.writes += 1
        await self.faults.delay()
        body = await req.json()
        if self.faults.strikes("apply_late"):
            asyncio.get_running_loop().call_later(
                self.faults.value("apply_late"), self._apply, body
            )
            return _hang_up(req)
        answer = self._apply(body)
        if self.faults.strikes("lose_answer"):
            return _hang_up(req)
        return answer

    def _apply(self, body: dict) -> web.Response:
        for index, (table, key, expected) in enumerate(body["checks"]):
            row = self.rows.get(table, {}).get(key)
            if not _holds(row, expected):
                return web.json_response({"failed": index, "row": row}, status=409)
        for table, key, row in body["writes"]:
            self.rows.setdefault(table, {})[key] = row
        return web.json_response({})


def _holds(row: dict | None, expected: dict | None) -> bool:
    if row is None or expected is None:
        return row is expected
    return all(row.get(name) == value for name, value in expected.items())


def _hang_up(req: web.Request) -> web.Response:
    req.transport.abort()
    return web.Response(status=500)


@define
class MembersStandin:
    """The platform's lagging list of VMs."""

    faults: Faults
    _versions: list[tuple[float, dict[str, Member]]] = field(
        factory=lambda: [(-math.inf, {})]
    )
    reads: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Routes that it serves."""
        return [web.get("/v1/members", self._list)]

    def put(self, member: Member) -> None:
        """Start a VM, or change what is known of it."""
        self._change(self._versions[-1][1] | {member.vm: member})

    def remove(self, vm: str) -> None:
        """End a VM."""
        newest = dict(self._versions[-1][1])
        newest.pop(vm, None)
        self._change(newest)

    def newest(self) -> dict[str, Member]:
        """The list as it is, without its lag."""
        return self._versions[-1][1]

    def _change(self, members: dict[str, Member]) -> None:
        self._versions.append((time.monotonic(), members))

    async def _list(self, req: web.Request) -> web.Response:
        self.reads += 1
        await self.faults.delay()
        seen = time.monotonic() - self.faults.value("lag")
        known = [row for row in enumerate(self._versions) if row[1][0] <= seen]
        index, (_, members) = known[-1]
        tag = f'"{index}"'
        if req.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        rows = [asdict(member) for member in members.values()]
        res = web.json_response(rows, headers={"ETag": tag})
        res.enable_compression()
        return res


@define
class WeightsStandin:
    """The origin of weights, behind one paced link; counts what is read."""

    faults: Faults
    pacer: Pacer
    manifests: dict[str, bytes] = field(factory=dict)
    chunks: dict[str, bytes] = field(factory=dict)
    chunk_reads: Counter = field(factory=Counter)
    bytes_read: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Routes that it serves."""
        return [
            web.get("/v1/manifests/{digest}", self._manifest),
            web.get("/v1/chunks/{digest}", self._chunk),
        ]

    def publish(self, manifest: Manifest, chunks: list[bytes]) -> str:
        """Make a version's weights readable; the manifest's digest."""
        self.manifests[manifest.digest] = manifest_to_json(manifest)
        self.chunks.update(zip(manifest.chunks, chunks, strict=True))
        return manifest.digest

    async def _manifest(self, req: web.Request) -> web.Response:
        await self.faults.delay()
        data = self.manifests.get(req.match_info["digest"])
        return web.Response(body=data, status=200 if data else 404)

    async def _chunk(self, req: web.Request) -> web.Response:
        await self.faults.delay()
        digest = req.match_info["digest"]
        data = self.chunks.get(digest)
        if data is None:
            return web.Response(status=404)
        if self.faults.strikes("stall"):
            await asyncio.sleep(3600)
        self.chunk_reads[digest] += 1
        self.bytes_read += len(data)
        await self.pacer.take(len(data))
        if self.faults.strikes("corrupt"):
            data = bytes([data[0] ^ 1]) + data[1:]
        return web.Response(body=data)
