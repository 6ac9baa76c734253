"""Traffic of callers for the fault scenarios; records each request's final outcome."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import Callable

import aiohttp
import orjson
from attrs import define, field, frozen

from .lab_fleet import CALLER_TOKEN

__all__ = ["RequestResult", "Traffic"]

MAX_CONNECTION_ATTEMPTS = 4
CALL_TIMEOUT_SECONDS = 40.0


@frozen
class RequestResult:
    """The final outcome of one request as seen by its caller.

    Attributes
    ----------
    outcome : str
        ``answered``, ``not-run`` or ``unknown``.
    lines : list of dict
        Lines of the response; the last line contains the outcome.
    """

    key: str
    service: str
    route: str
    body: str
    outcome: str
    reason: str
    lines: list[dict]
    version: str
    ticket: str
    started_at: float
    duration_seconds: float


@define
class Traffic:
    """Sends requests at a constant rate through the entries that are running.

    Attributes
    ----------
    entries : callable
        Returns the current ``host:port`` addresses of the entries.
    """

    entries: Callable[[], list[str]]
    rng: random.Random
    requests_per_second: float = 100.0
    deadline_ms: int = 15_000
    results: list[RequestResult] = field(factory=list)
    sent_count: int = 0

    async def run(self, requests: int) -> None:
        """Send requests, a third of them not repeatable, and wait for all responses."""
        async with aiohttp.ClientSession() as session:
            tasks = []
            for index in range(requests):
                tasks.append(asyncio.create_task(self._send_generated(session, index)))
                await asyncio.sleep(1 / self.requests_per_second)
            await asyncio.gather(*tasks)

    async def _send_generated(self, session: aiohttp.ClientSession, index: int) -> None:
        service, route = (
            ("orders", "print"),
            ("drafting", "brief"),
            ("orders", "status"),
        )[index % 3]
        key = f"key-{self.rng.getrandbits(64):016x}"
        await self.send(session, service, route, f"body of {key}", key)

    async def send(
        self,
        session: aiohttp.ClientSession,
        service: str,
        route: str,
        body: str,
        key: str,
        is_retry: bool = False,
    ) -> RequestResult:
        """Send one request; on a connection failure, retry at a randomly chosen entry.

        ``is_retry`` states that the key was sent before: it raises the number that the
        request reports in ``x-try``, as a correct caller does.
        """
        self.sent_count += 1
        started_at = time.monotonic()
        reason, status, data, headers = "", 0, b"", {}
        for attempt_number in range(
            1 + is_retry, MAX_CONNECTION_ATTEMPTS + 1 + is_retry
        ):
            try:
                status, data, headers = await self._post(
                    session, service, route, body, key, attempt_number
                )
                break
            except (TimeoutError, aiohttp.ClientError, OSError) as exc:
                reason = type(exc).__name__
                await asyncio.sleep(0.1)
        try:
            lines = [orjson.loads(line) for line in data.splitlines() if line]
        except orjson.JSONDecodeError:
            lines, reason = [], f"Malformed{status}"
        outcome = lines[-1] if lines else {"outcome": "unknown", "reason": reason}
        result = RequestResult(
            key,
            service,
            route,
            body,
            outcome.get("outcome", "unknown"),
            outcome.get("reason", ""),
            lines,
            headers.get("x-wasabideck-version", ""),
            headers.get("x-wasabideck-ticket", ""),
            started_at,
            time.monotonic() - started_at,
        )
        self.results.append(result)
        return result

    async def _post(
        self,
        session: aiohttp.ClientSession,
        service: str,
        route: str,
        body: str,
        key: str,
        attempt_number: int,
    ) -> tuple[int, bytes, dict]:
        address = self.rng.choice(self.entries())
        url = f"http://{address}/v1/services/{service}/{route}"
        headers = {
            "authorization": f"Bearer {CALLER_TOKEN}",
            "idempotency-key": key,
            "x-deadline-ms": str(self.deadline_ms),
            "x-try": str(attempt_number),
        }
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        req = session.post(url, data=body.encode(), headers=headers, timeout=timeout)
        async with req as response:
            return response.status, await response.read(), dict(response.headers)


def response_subject(body: str) -> str:
    """Return the hash of a body that each word of the engine stand-in contains."""
    return hashlib.sha256(body.encode()).hexdigest()[:6]
