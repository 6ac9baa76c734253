"""The operators' side of an entry's HTTP interface."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Mapping
from pathlib import Path

import aiohttp
import orjson
from attrs import define
from wasabideck_base.settings import AccessSettings
from wasabideck_base.tls import client_context
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import MAX_TICKET_BYTES, TicketError

__all__ = ["AcceptanceUnknown", "EntryRefused", "EntryUnreachable", "OperatorClient"]

TIMEOUT = 30.0
EXIT_UNKNOWN = 3


class EntryUnreachable(WasabideckError):
    """The entry gave no answer; nothing was sent that could change anything."""


class AcceptanceUnknown(WasabideckError):
    """Nobody can say yet whether the ticket was accepted; submit the file again."""

    exit_code = EXIT_UNKNOWN


class EntryRefused(WasabideckError):
    """The entry refused; its typed error is passed on."""


@define
class OperatorClient:
    """Asks one entry on behalf of an operator."""

    cfg: AccessSettings

    def submit(self, file: str) -> dict:
        """Submit a ticket's file.

        Raises
        ------
        TicketError
            The file cannot be read, or is too big.
        AcceptanceUnknown
            The answer was lost; submitting the same file again is safe.
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
        """Answer of a path.

        Raises
        ------
        EntryUnreachable
            No answer came.
        EntryRefused
            The answer is a refusal.
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
        return asyncio.run(self._ask(method, path, body, query, headers))

    def _ssl(self) -> ssl.SSLContext | bool:
        if self.cfg.plain_text:
            return True
        try:
            return client_context(self.cfg.authority)
        except OSError as exc:
            why = f"{self.cfg.authority}: {exc}; nothing was sent"
            raise EntryRefused(why) from exc

    async def _ask(
        self,
        method: str,
        path: str,
        body: bytes | None,
        query: Mapping[str, str] | None,
        headers: dict[str, str],
    ) -> object:
        limit = aiohttp.ClientTimeout(total=TIMEOUT)
        url = f"{self.cfg.entry.rstrip('/')}{path}"
        try:
            async with aiohttp.ClientSession(timeout=limit) as session:
                req = session.request(
                    method,
                    url,
                    data=body,
                    params=query,
                    headers=headers,
                    ssl=self._ssl(),
                )
                async with req as answer:
                    data = await answer.read()
        except aiohttp.ClientConnectorError as exc:
            # Nothing was sent, so that a ticket certainly was not accepted.
            raise EntryRefused(f"{url}: {exc}; nothing was sent") from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            why = str(exc) or type(exc).__name__
            raise EntryUnreachable(f"{url}: {why}") from exc
        return _answer(answer.status, data)


def _answer(status: int, data: bytes) -> object:
    try:
        answer = orjson.loads(data)
    except ValueError:
        raise EntryRefused(f"status {status}: {data[:200]!r}") from None
    if status == 200:
        return answer
    title, detail = answer.get("title"), answer.get("detail")
    if title == "TicketUnknown":
        raise AcceptanceUnknown(f"{detail}; submit the same file again")
    raise EntryRefused(f"{title}: {detail}")
