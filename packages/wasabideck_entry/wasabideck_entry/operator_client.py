"""The operators' side of an entry's HTTP interface."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import orjson
from attrs import define
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["EntryRefused", "EntryUnreachable", "OperatorClient"]

TIMEOUT = 30.0


class EntryUnreachable(WasabideckError):
    """The entry gave no answer; a ticket's acceptance is unknown, submit again."""


class EntryRefused(WasabideckError):
    """The entry refused; its typed error is passed on."""


@define
class OperatorClient:
    """Asks one entry on behalf of an operator."""

    entry: str
    token: str

    def submit(self, file: str) -> dict:
        """Submit a ticket's file."""
        try:
            body = Path(file).read_bytes()
        except OSError as exc:
            raise EntryRefused(f"{file}: cannot be read: {exc}") from exc
        return self._call("POST", "/v1/tickets", body, {"x-source": file})

    def get(self, path: str) -> object:
        """Answer of a path."""
        return self._call("GET", path, None, {})

    def _call(self, method: str, path: str, body: bytes | None, headers: dict):
        headers = headers | {"authorization": f"Bearer {self.token}"}
        return asyncio.run(self._ask(method, path, body, headers))

    async def _ask(self, method: str, path: str, body: bytes | None, headers: dict):
        limit = aiohttp.ClientTimeout(total=TIMEOUT)
        url = f"{self.entry}{path}"
        try:
            async with aiohttp.ClientSession(timeout=limit) as session:
                req = session.request(method, url, data=body, headers=headers)
                async with req as answer:
                    data = await answer.read()
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise EntryUnreachable(f"{url}: {exc}") from exc
        if answer.status != 200:
            raise EntryRefused(_problem(data))
        return orjson.loads(data)


def _problem(data: bytes) -> str:
    try:
        body = orjson.loads(data)
        return f"{body['title']}: {body['detail']}"
    except (ValueError, KeyError):
        return data[:200].decode(errors="replace")
