"""Test helper: the platform's store as an HTTP service whose responses take time."""

import asyncio
import base64
import contextlib
from urllib.parse import parse_qs, urlsplit

import orjson

__all__ = ["StoreServer"]

# Bytes that a connection sends over a limited link before the next one's turn, and of
# which it sends this much at a time.
TURN_BYTES = 256 * 1024
PIECE_BYTES = 16 * 1024


class StoreServer:
    """Serves a store's rows; each response is as of the call's arrival, and late.

    Attributes
    ----------
    delay : float
        Seconds that a response takes once the store knows it.
    link_bytes_per_second : float or None
        Bandwidth of the link that all responses share in turns; None for no limit.
    sent_bytes : int
        Bytes of responses sent so far.
    """

    def __init__(self, store):
        self.store, self.delay = store, 0.0
        self.link_bytes_per_second = None
        self.calls, self.sent_bytes = [], 0
        self.connections = 0
        self._turn = asyncio.Lock()
        self._silent_up_to = 0
        self._server = None
        self._serving = set()

    async def start(self):
        """Listen on a free port of the loopback interface; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence_open_connections(self):
        """Leave all calls on connections that are open now without a response."""
        self._silent_up_to = self.connections

    async def close(self):
        """Stop listening, and end all connections."""
        self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._serving.add(asyncio.current_task())
        self.connections += 1
        try:
            await self._serve_calls(reader, writer, self.connections)
        finally:
            writer.transport.abort()

    async def _serve_calls(self, reader, writer, number):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
                body = await reader.readexactly(_content_length(head))
                response = await self._respond(method, target, body)
                await asyncio.sleep(self.delay)
                if number <= self._silent_up_to:
                    await asyncio.Event().wait()
                content = orjson.dumps(response)
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
                await self._send(writer, head.encode() + content)

    async def _send(self, writer, data):
        for start in range(0, len(data), TURN_BYTES):
            async with self._turn:
                turn = data[start : start + TURN_BYTES]
                for at in range(0, len(turn), PIECE_BYTES):
                    piece = turn[at : at + PIECE_BYTES]
                    if self.link_bytes_per_second is not None:
                        await asyncio.sleep(len(piece) / self.link_bytes_per_second)
                    writer.write(piece)
                    await writer.drain()
                    self.sent_bytes += len(piece)

    async def _respond(self, method, target, body):
        url = urlsplit(target)
        params = {name: values[0] for name, values in parse_qs(url.query).items()}
        now = asyncio.get_running_loop().time()
        self.calls.append((now, url.path, params.get("table")))
        if method == "POST":
            for row in orjson.loads(body)["upserts"]:
                value = base64.b64decode(row["value"])
                self.store.put(row["table"], row["key"], value)
            return {}
        if url.path == "/-/rows-get":
            first, end = params.get("from", ""), params.get("to", "\U0010ffff")
            changes = self._changes(params["table"], -1)
            changes["rows"] = [r for r in changes["rows"] if first <= r["key"] < end]
            return changes
        return await self._wait_for_changes(params, now)

    async def _wait_for_changes(self, params, now):
        deadline = now + int(params["wait-ms"]) / 1000
        while True:
            written = self.store.written
            changes = self._changes(params["table"], int(params["after"]))
            remaining = deadline - asyncio.get_running_loop().time()
            if changes["rows"] or remaining <= 0:
                return changes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await written.wait()

    def _changes(self, table, after):
        rows = [row for row in self.store.rows.values() if row.table == table]
        newer = sorted((r for r in rows if r.version > after), key=lambda r: r.version)
        now = asyncio.get_running_loop().time()
        return {
            "rows": [_encode(row) for row in newer],
            "ver": self.store.version,
            "now-ms": now * 1000,
        }


def _content_length(head):
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def _encode(row):
    return {
        "table": row.table,
        "part": "",
        "key": row.key,
        "value": base64.b64encode(row.value).decode(),
        "ver": row.version,
    }
