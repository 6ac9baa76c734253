"""HTTP clients of backend servers: model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import aiohttp
import orjson
from attrs import asdict, define, frozen
from wasabideck_policy.orders import Serving
from wasabideck_policy.outcomes import WasabideckError

from .http_client import HttpClient

__all__ = [
    "ModelEngineClient",
    "GenerationRequest",
    "ServedState",
    "PlainServiceClient",
    "ServerDied",
    "ServerFailed",
    "ServerRefused",
    "ServerSilent",
]

MAX_RESPONSE_BYTES = 4 << 20
# Statuses with which a server rejects a request without running it. Every other status,
# above all 500 to 599, may follow a call that took effect: a service returned 500 after
# it had recorded an order, and the call was reported as "not run".
_NOT_RUN_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 414, 415, 422, 429, 431})
_RETRY_LATER_STATUSES = frozenset({429})
ORDER_TIMEOUT_SECONDS = 60.0


class ServerDied(WasabideckError):
    """The backend server terminated or became unresponsive during a request."""

    def __init__(self, url: str, why: str):
        super().__init__(f"{url}: {why}")


class ServerSilent(WasabideckError):
    """The backend server sent no response in time; the request may have run."""

    def __init__(self, url: str):
        super().__init__(f"{url}: no response before the deadline")


class ServerFailed(WasabideckError):
    """The backend server sent an error response; the request may have run."""

    def __init__(self, url: str, why: str):
        super().__init__(f"{url}: {why}")


class ServerRefused(WasabideckError):
    """The backend server certainly did not run the request."""

    def __init__(self, url: str, why: str, retry_after: float = 0.0):
        super().__init__(f"{url}: {why}")
        self.retry_after = retry_after


# What an engine reports that it serves.
ServedState = Serving


@frozen
class GenerationRequest:
    """Request to generate a response, or to resume one.

    Attributes
    ----------
    resume_from : int
        Number of stream events that exist already; ``prefix`` holds their text.
    timeout : float
        Timeout in seconds.
    """

    attempt: str
    route: str
    body: bytes
    priority: int
    timeout: float
    resume_from: int = 0
    prefix: bytes = b""


@define
class ModelEngineClient:
    """Client of a model engine, which receives weights over loopback."""

    http: HttpClient

    async def read_state(self) -> ServedState:
        """Return what the engine serves now."""
        return ServedState(**await self.http.json("GET", "/v1/loaded"))

    async def staged_chunks(self, manifest: str) -> set[int]:
        """Return the indices of a manifest's chunks that are staged at the engine."""
        return set(await self.http.json("GET", f"/v1/weights/{manifest}"))

    async def stage_chunk(self, manifest: str, index: int, data: bytes) -> None:
        """Stage one chunk at the engine."""
        await self.http.call("PUT", f"/v1/weights/{manifest}/{index}", data)

    async def order(
        self, desired: ServedState, chunks: Mapping[str, int]
    ) -> ServedState:
        """Order the engine to serve ``desired``; return what it serves afterwards.

        ``chunks`` maps each manifest to its total number of chunks.
        """
        body = asdict(desired) | {"chunks": dict(chunks)}
        response = await self.http.json(
            "POST", "/v1/orders", body, timeout=ORDER_TIMEOUT_SECONDS
        )
        return ServedState(**response)

    async def read_load(self) -> dict:
        """Return the engine's load report, which lags behind its actual load."""
        return await self.http.json("GET", "/v1/load")

    async def read_cache_events(self, after: int) -> list[tuple[int, str, bool]]:
        """Return cache events after a sequence number; some may be lost or delayed."""
        rows = await self.http.json("GET", f"/v1/cache?after={after}")
        return [(number, name, stored) for number, name, stored in rows]

    async def cancel(self, attempt: str) -> None:
        """Cancel the generation of an attempt."""
        await self.http.call("POST", f"/v1/cancel/{attempt}", accept=(200, 404))

    async def generate(self, job: GenerationRequest) -> AsyncIterator[dict]:
        """Yield the lines of a streamed response; the last one contains ``done``.

        Raises
        ------
        ServerRefused
            The engine did not run the request.
        ServerDied
            The connection closed before the last line.
        ServerSilent
            The last line did not arrive in time.
        """
        url = f"{self.http.base_url}/v1/generate/{job.route}"
        headers = {"x-attempt": job.attempt, "x-priority": str(job.priority)}
        if job.resume_from:
            headers["x-resume-from"] = str(job.resume_from)
            headers["x-prompt-bytes"] = str(len(job.body))
        done = False
        async with _post(
            self.http.session, url, job.body + job.prefix, headers, job.timeout
        ) as response:
            async for line in response.content:
                row = orjson.loads(line)
                done = row.get("done", False)
                yield row
        if not done:
            raise ServerDied(url, "the response ended early")


@define
class PlainServiceClient:
    """Client of a plain HTTP service; some of its calls must not be repeated."""

    http: HttpClient

    async def call(
        self, attempt: str, route: str, key: str, body: bytes, timeout: float
    ) -> bytes:
        """Return the response body of one call.

        Raises
        ------
        ServerRefused
            The service certainly did not run the call.
        ServerDied, ServerFailed, ServerSilent
            The call has no valid response and may have run.
        """
        url = f"{self.http.base_url}/v1/calls/{route}"
        headers = {"x-attempt": attempt, "idempotency-key": key}
        async with _post(self.http.session, url, body, headers, timeout) as response:
            data = bytearray()
            async for part in response.content.iter_any():
                data += part
                if len(data) > MAX_RESPONSE_BYTES:
                    raise ServerFailed(
                        url, f"response exceeds {MAX_RESPONSE_BYTES} bytes"
                    )
            return bytes(data)


@asynccontextmanager
async def _post(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    headers: dict[str, str],
    timeout: float,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Yield a 200 response; the type of a failure says if the request may have run."""
    client_timeout = aiohttp.ClientTimeout(total=max(timeout, 0.001))
    try:
        async with session.post(
            url, data=body, headers=headers, timeout=client_timeout
        ) as response:
            if response.status in _NOT_RUN_STATUSES:
                retry_after = 1.0 if response.status in _RETRY_LATER_STATUSES else 0.0
                raise ServerRefused(url, f"status {response.status}", retry_after)
            if response.status != 200:
                raise ServerFailed(url, f"status {response.status}")
            yield response
    except aiohttp.ClientConnectorError as exc:
        # Nothing was sent.
        raise ServerRefused(url, str(exc), 1.0) from exc
    except TimeoutError as exc:
        raise ServerSilent(url) from exc
    except (aiohttp.ClientError, ConnectionError) as exc:
        raise ServerDied(url, str(exc) or type(exc).__name__) from exc
    except ValueError as exc:
        raise ServerFailed(url, f"malformed response: {exc}") from exc
