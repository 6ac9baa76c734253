"""Callers' traffic for the fault scenarios, with every final outcome kept."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import Callable

import aiohttp
import orjson
from attrs import define, field, frozen

from .launcher import CALLER_TOKEN

__all__ = ["Result", "Traffic"]

CONNECTION_TRIES = 4
CALL_SECONDS = 40.0


@frozen
class Result:
    """One request's final outcome, as its caller saw it.

    Attributes
    ----------
    outcome : str
        ``answered``, ``not-run`` or ``unknown``.
    lines : list of dict
        Lines of the answer; the last one is the outcome's tag.
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
    begun: float
    seconds: float


@define
class Traffic:
    """Sends requests at a steady rate through whichever entries are up.

    Attributes
    ----------
    entries : callable
        Present ``host:port`` addresses of the entries.
    """

    entries: Callable[[], list[str]]
    rng: random.Random
    rate: float = 100.0
    deadline_ms: int = 15_000
    results: list[Result] = field(factory=list)
    sent: int = 0

    async def run(self, requests: int) -> None:
        """Send so many requests, a third of them not repeatable, and await all."""
        async with aiohttp.ClientSession() as session:
            tasks = []
            for index in range(requests):
                tasks.append(asyncio.create_task(self._one(session, index)))
                await asyncio.sleep(1 / self.rate)
            await asyncio.gather(*tasks)

    async def _one(self, session: aiohttp.ClientSession, index: int) -> None:
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
        again: bool = False,
    ) -> Result:
        """One request; a connection that breaks is tried again at another entry.

        ``again`` says that the key was sent before, as an honest caller does.
        """
        self.sent += 1
        begun = time.monotonic()
        reason, status, data, headers = "", 0, b"", {}
        for number in range(1 + again, CONNECTION_TRIES + 1 + again):
            try:
                status, data, headers = await self._post(
                    session, service, route, body, key, number
                )
                break
            except (TimeoutError, aiohttp.ClientError, OSError) as exc:
                reason = type(exc).__name__
                await asyncio.sleep(0.1)
        try:
            lines = [orjson.loads(line) for line in data.splitlines() if line]
        except orjson.JSONDecodeError:
            lines, reason = [], f"Malformed{status}"
        tag = lines[-1] if lines else {"outcome": "unknown", "reason": reason}
        result = Result(
            key,
            service,
            route,
            body,
            tag.get("outcome", "unknown"),
            tag.get("reason", ""),
            lines,
            headers.get("x-wasabideck-version", ""),
            headers.get("x-wasabideck-ticket", ""),
            begun,
            time.monotonic() - begun,
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
        number: int,
    ) -> tuple[int, bytes, dict]:
        address = self.rng.choice(self.entries())
        url = f"http://{address}/v1/services/{service}/{route}"
        headers = {
            "authorization": f"Bearer {CALLER_TOKEN}",
            "idempotency-key": key,
            "x-deadline-ms": str(self.deadline_ms),
            "x-try": str(number),
        }
        limit = aiohttp.ClientTimeout(total=CALL_SECONDS)
        req = session.post(url, data=body.encode(), headers=headers, timeout=limit)
        async with req as answer:
            return answer.status, await answer.read(), dict(answer.headers)


def subject_of(body: str) -> str:
    """What the engine's stand-in calls a body by, in every word of its answer."""
    return hashlib.sha256(body.encode()).hexdigest()[:6]
