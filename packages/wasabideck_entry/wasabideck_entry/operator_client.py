"""Client of the operators' HTTP interface of an entry."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Mapping
from pathlib import Path

import aiohttp
import orjson
from attrs import define
from wasabideck_base.settings import AccessSettings
from wasabideck_base.tls import operator_client_context
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import MAX_TICKET_BYTES, TicketError

__all__ = ["AcceptanceUnknown", "EntryRefused", "EntryUnreachable", "OperatorClient"]

TIMEOUT_SECONDS = 30.0
UNKNOWN_EXIT_CODE = 3


class EntryUnreachable(WasabideckError):
    """The entry did not respond to a request that changes nothing."""


class AcceptanceUnknown(WasabideckError):
    """It is unknown whether the ticket was accepted; submit the same file again."""

    exit_code = UNKNOWN_EXIT_CODE


class EntryRefused(WasabideckError):
    """The entry refused the request; the message has the entry's error."""


@define
class OperatorClient:
    """Sends an operator's requests to one entry."""

    cfg: AccessSettings

    def submit(self, file: str) -> dict:
        """Submit the file of a ticket.

        Raises
        ------
        TicketError
            The file cannot be read or is too big.
        AcceptanceUnknown
            The response was lost; submitting the same file again is safe.
        EntryRefused
            The ticket is not accepted.
        """
        try:
            body = Path(file).read_bytes()
        except OSError as exc:
            raise TicketError(file, "ticket", "", f"cannot be read: {exc}") from exc
        if len(body) > MAX_TICKET_BYTES:
            raise TicketError(file, "ticket", len(body), "too many bytes")
        try:
            return self._call("POST", "/v1/tickets", body, source=Path(file).name)
        except EntryUnreachable as exc:
            raise AcceptanceUnknown(f"{exc}; submit the same file again") from exc

    def get(self, path: str, query: Mapping[str, str] | None = None) -> object:
        """Return the response of a path.

        Raises
        ------
        EntryUnreachable
            No response was received.
        EntryRefused
            The entry refused the request.
        """
        return self._call("GET", path, None, query=query)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        query: Mapping[str, str] | None = None,
        source: str = "",
    ) -> object:
        headers = {"authorization": f"Bearer {self.cfg.token}"}
        if source:
            headers["x-source"] = source.encode("ascii", "replace").decode()
        return asyncio.run(self._send(method, path, body, query, headers))

    def _ssl(self) -> ssl.SSLContext | bool:
        if self.cfg.plain_text:
            return True
        try:
            return operator_client_context(self.cfg.authority)
        except OSError as exc:
            why = f"{self.cfg.authority}: {exc}; nothing was sent"
            raise EntryRefused(why) from exc

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        query: Mapping[str, str] | None,
        headers: dict[str, str],
    ) -> object:
        client_timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        url = f"{self.cfg.entry.rstrip('/')}{path}"
        try:
            async with aiohttp.ClientSession(timeout=client_timeout) as session:
                req = session.request(
                    method,
                    url,
                    data=body,
                    params=query,
                    headers=headers,
                    ssl=self._ssl(),
                )
                async with req as response:
                    data = await response.read()
        except aiohttp.ClientConnectorError as exc:
            # Nothing was sent, so a submitted ticket was certainly not accepted.
            raise EntryRefused(f"{url}: {exc}; nothing was sent") from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            why = str(exc) or type(exc).__name__
            raise EntryUnreachable(f"{url}: {why}") from exc
        return _parse_response(response.status, data)


def _parse_response(status: int, data: bytes) -> object:
    try:
        response = orjson.loads(data)
    except ValueError:
        raise EntryRefused(f"status {status}: {data[:200]!r}") from None
    if status == 200:
        return response
    title, detail = response.get("title"), response.get("detail")
    if title == "TicketUnknown":
        raise AcceptanceUnknown(f"{detail}; submit the same file again")
    raise EntryRefused(f"{title}: {detail}")
