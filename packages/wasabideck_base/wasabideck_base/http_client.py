"""HTTP client for services with TLS or entity tags, with typed failures.

Plain HTTP services are called through ``http_pool``, which is cheaper per call.
"""

from __future__ import annotations

from collections.abc import Mapping

import aiohttp
import orjson
from attrs import define, frozen

from .http_responses import (
    PlatformRefused,
    PlatformUnavailable,
    parse_response,
    raise_for_failure,
)

__all__ = ["ChangedResource", "HttpClient"]


@frozen
class ChangedResource:
    """A resource that has changed since the entity tag of the request.

    Attributes
    ----------
    wire_bytes : int
        Size of the body on the wire, compressed or not.
    """

    body: bytes
    tag: str
    wire_bytes: int


@define
class HttpClient:
    """Sends requests to one service at one base address."""

    base_url: str
    timeout_seconds: float
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
        """Return the status and body of a response.

        Parameters
        ----------
        timeout : float or None
            Timeout of the whole call in seconds; None for the client's default.

        Raises
        ------
        PlatformUnavailable
            The service sent no response.
        PlatformRefused
            The status is not one of the accepted ones.
        """
        url = f"{self.base_url}{path}"
        response, data = await self._send(
            method, path, timeout, data=body, params=params
        )
        if response.status not in accept:
            raise PlatformRefused(url, response.status, data)
        return response.status, data

    async def get_if_changed(self, path: str, tag: str) -> ChangedResource | None:
        """Return a resource, or None if it still matches the entity tag.

        Raises
        ------
        PlatformUnavailable, PlatformRefused
            As raised by ``call``.
        """
        headers = {"If-None-Match": tag} if tag else {}
        response, data = await self._send("GET", path, None, headers=headers)
        if response.status == 304:
            return None
        if response.status != 200:
            raise PlatformRefused(f"{self.base_url}{path}", response.status, data)
        size = response.content_length or len(data)
        return ChangedResource(data, response.headers.get("ETag", ""), size)

    async def _send(
        self,
        method: str,
        path: str,
        timeout: float | None,
        **kw: object,
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        url = f"{self.base_url}{path}"
        client_timeout = aiohttp.ClientTimeout(total=timeout or self.timeout_seconds)
        try:
            async with self.session.request(
                method, url, timeout=client_timeout, **kw
            ) as response:
                data = await response.read()
        except aiohttp.ClientConnectorError as exc:
            # Nothing was sent, so a write certainly had no effect.
            raise PlatformUnavailable(url, str(exc), maybe_applied=False) from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            why = str(exc) or type(exc).__name__
            raise PlatformUnavailable(url, why, maybe_applied=True) from exc
        raise_for_failure(url, response.status)
        return response, data

    async def json(self, method: str, path: str, value: object = None, **kw) -> object:
        """Send and return JSON values; otherwise like ``call``."""
        body = None if value is None else orjson.dumps(value)
        _, data = await self.call(method, path, body, **kw)
        if not data:
            return None
        return parse_response(f"{self.base_url}{path}", data, orjson.loads)
