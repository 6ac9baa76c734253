"""Client of the platform's list of live and draining VMs, which lags behind."""

from __future__ import annotations

from collections.abc import Iterator

import orjson
from attrs import define, field
from eliot import log_message
from wasabideck_policy.membership import Member

from .http_client import HttpClient
from .http_responses import MALFORMED_DATA, parse_response
from .member_rows import member_of

__all__ = ["MemberListClient"]

MEMBERS_PATH = "/v1/members"
READ_BYTES_PER_SECOND = 3000.0


@define
class MemberListClient:
    """Reads the list within a bandwidth budget; the list may be many seconds old.

    With 1,800 VMs, reading the whole list once a second would cost every process
    250 KB/s. So requests are conditional on the list's entity tag, and the size of
    a changed list determines how long the next read is delayed.

    Attributes
    ----------
    bytes_per_second : float
        Maximum average bandwidth for reading the list.
    """

    http: HttpClient
    bytes_per_second: float = READ_BYTES_PER_SECOND
    _members: list[Member] = field(factory=list)
    _etag: str = ""
    _next_read_at: float = 0.0

    async def read(self, now: float) -> list[Member]:
        """Return all VMs that the platform lists as live, as last read.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Raises
        ------
        PlatformUnavailable
            The list cannot be read now; the caller keeps its last list.
        """
        if now < self._next_read_at:
            return self._members
        changed = await self.http.get_if_changed(MEMBERS_PATH, self._etag)
        if changed:
            self._members = parse_response(
                f"{self.http.base_url}{MEMBERS_PATH}", changed.body, _parse_members
            )
            self._etag = changed.tag
            self._next_read_at = now + changed.wire_bytes / self.bytes_per_second
        return self._members


def _parse_members(body: bytes) -> list[Member]:
    entries = orjson.loads(body)
    members = list(_well_formed_members(entries))
    if entries and not members:
        raise ValueError("not a list of members")
    return members


def _well_formed_members(entries: list) -> Iterator[Member]:
    for entry in entries:
        try:
            yield member_of(entry)
        except MALFORMED_DATA as exc:
            why = f"{MEMBERS_PATH}: {exc}"[:300]
            log_message(message_type="row.unreadable", why=why)
