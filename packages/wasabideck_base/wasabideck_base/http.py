"""HTTP client of services that speak TLS or tag what they send, with typed failures.

Services of plain HTTP are called by ``http_pool``, which costs a part of it.
"""

from __future__ import annotations

from collections.abc import Mapping

import aiohttp
import orjson
from attrs import define, frozen

from .http_answers import (
    PlatformRefused,
    PlatformUnavailable,
    raise_for_failure,
    understood,
)

__all__ = ["Changed", "HttpClient"]


@frozen
class Changed:
    """A resource that is not what its tag named before.

    Attributes
    ----------
    wire_bytes : int
        Size of the body as it was sent, compressed or not.
    """

    body: bytes
    tag: str
    wire_bytes: int


@define
class HttpClient:
    """Requests to one service under one base address."""

    base: str
    timeout: float
    session: aiohttp.ClientSession

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        params: Mapping[str, str] | None = None,
        timeout: float | None = None,
        accept: tuple[int, ...] = (200,),
    ) -> tuple[int, bytes]:
        """Status and body of an answer.

        Parameters
        ----------
        timeout : float or None
            Seconds that the whole call may take; None for the client's own figure.

        Raises
        ------
        PlatformUnavailable
            No answer came.
        PlatformRefused
            The status is none of the accepted ones.
        """
        url = f"{self.base}{path}"
        answer, data = await self._ask(method, path, timeout, data=body, params=params)
        if answer.status not in accept:
            raise PlatformRefused(url, answer.status, data)
        return answer.status, data

    async def get_if_changed(self, path: str, tag: str) -> Changed | None:
        """A resource, or None when it is still what the tag names.

        Raises
        ------
        PlatformUnavailable, PlatformRefused
            As ``call`` does.
        """
        headers = {"If-None-Match": tag} if tag else {}
        answer, data = await self._ask("GET", path, None, headers=headers)
        if answer.status == 304:
            return None
        if answer.status != 200:
            raise PlatformRefused(f"{self.base}{path}", answer.status, data)
        size = answer.content_length or len(data)
        return Changed(data, answer.headers.get("ETag", ""), size)

    async def _ask(
        self,
        method: str,
        path: str,
        timeout: float | None,
        **kw: object,
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        url = f"{self.base}{path}"
        limit = aiohttp.ClientTimeout(total=timeout or self.timeout)
        try:
            async with self.session.request(method, url, timeout=limit, **kw) as answer:
                data = await answer.read()
        except aiohttp.ClientConnectorError as exc:
            # Nothing was sent: a write certainly did not take effect.
            raise PlatformUnavailable(url, str(exc), maybe_applied=False) from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            why = str(exc) or type(exc).__name__
            raise PlatformUnavailable(url, why, maybe_applied=True) from exc
        raise_for_failure(url, answer.status)
        return answer, data

    async def json(self, method: str, path: str, value: object = None, **kw) -> object:
        """Like ``call``, with JSON in and out."""
        body = None if value is None else orjson.dumps(value)
        _, data = await self.call(method, path, body, **kw)
        if not data:
            return None
        return understood(f"{self.base}{path}", data, orjson.loads)
