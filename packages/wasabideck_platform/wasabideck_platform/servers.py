"""Clients of the backend servers: model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping

import aiohttp
import orjson
from attrs import asdict, define
from wasabideck_policy.orders import Serving
from wasabideck_policy.outcomes import WasabideckError

from .http import HttpClient

__all__ = ["Engine", "Loaded", "PlainService", "ServerDied", "ServerRefused"]

LINE_LIMIT = 1 << 16
ORDER_TIMEOUT = 60.0


class ServerDied(WasabideckError):
    """The backend server died, or went silent, with a request on it."""

    def __init__(self, url: str, why: str):
        super().__init__(f"{url}: {why}")


class ServerRefused(WasabideckError):
    """The backend server answered that it did not run the request."""

    def __init__(self, url: str, status: int):
        super().__init__(f"{url}: status {status}")
        self.answer_status = status


# What an engine says that it serves.
Loaded = Serving


@define
class Engine:
    """A model engine; weights are handed to it over loopback."""

    http: HttpClient

    async def loaded(self) -> Loaded:
        """Read back what the engine serves now."""
        return Loaded(**await self.http.json("GET", "/v1/loaded"))

    async def staged(self, manifest: str) -> set[int]:
        """Indices of the chunks that the engine holds of a manifest."""
        return set(await self.http.json("GET", f"/v1/weights/{manifest}"))

    async def stage(self, manifest: str, index: int, data: bytes) -> None:
        """Hand one chunk to the engine."""
        await self.http.call("PUT", f"/v1/weights/{manifest}/{index}", data)

    async def order(self, wanted: Loaded, chunks: Mapping[str, int]) -> Loaded:
        """Order the engine to serve; what it serves afterwards.

        ``chunks`` tells how many chunks make each manifest whole.
        """
        body = asdict(wanted) | {"chunks": dict(chunks)}
        answer = await self.http.json("POST", "/v1/orders", body, timeout=ORDER_TIMEOUT)
        return Loaded(**answer)

    async def load(self) -> dict:
        """The engine's lagging report of its load."""
        return await self.http.json("GET", "/v1/load")

    async def cache_events(self, after: int) -> list[tuple[int, str, bool]]:
        """Cache events after a number; some may be missing, or not there yet."""
        rows = await self.http.json("GET", f"/v1/cache?after={after}")
        return [(number, name, stored) for number, name, stored in rows]

    async def cancel(self, attempt: str) -> None:
        """Stop generating for an attempt."""
        await self.http.call("POST", f"/v1/cancel/{attempt}", accept=(200, 404))

    async def generate(
        self, attempt: str, route: str, body: bytes, priority: int, timeout: float
    ) -> AsyncIterator[dict]:
        """Lines of a streamed answer; the last one has ``done``.

        Raises
        ------
        ServerRefused
            The engine did not run it.
        ServerDied
            The connection broke before the last line.
        """
        url = f"{self.http.base}/v1/generate/{route}"
        headers = {"x-attempt": attempt, "x-priority": str(priority)}
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self.http.session.post(
                url, data=body, headers=headers, timeout=limit
            ) as answer:
                if answer.status != 200:
                    raise ServerRefused(url, answer.status)
                done = False
                async for line in answer.content:
                    row = orjson.loads(line)
                    done = row.get("done", False)
                    yield row
        except aiohttp.ClientConnectorError as exc:
            raise ServerRefused(url, 503) from exc
        except (TimeoutError, aiohttp.ClientError, ValueError) as exc:
            raise ServerDied(url, str(exc) or type(exc).__name__) from exc
        if not done:
            raise ServerDied(url, "the answer ended early")


@define
class PlainService:
    """A plain HTTP service, some of whose calls may not be repeated."""

    http: HttpClient

    async def call(
        self, attempt: str, route: str, key: str, body: bytes, timeout: float
    ) -> bytes:
        """Answer of one call.

        Raises
        ------
        ServerRefused
            The service certainly did not run it.
        ServerDied
            No answer: it may have run.
        """
        url = f"{self.http.base}/v1/calls/{route}"
        headers = {"x-attempt": attempt, "idempotency-key": key}
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self.http.session.post(
                url, data=body, headers=headers, timeout=limit
            ) as answer:
                data = await answer.read()
        except aiohttp.ClientConnectorError as exc:
            raise ServerRefused(url, 503) from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise ServerDied(url, str(exc) or type(exc).__name__) from exc
        if answer.status != 200:
            raise ServerRefused(url, answer.status)
        return data
