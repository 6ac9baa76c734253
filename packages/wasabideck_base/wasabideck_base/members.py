"""Client of the platform's lagging list of live and leaving VMs."""

from __future__ import annotations

import orjson
from attrs import define, field
from wasabideck_policy.membership import Member

from .http import HttpClient
from .http_answers import understood

__all__ = ["Members"]

PATH = "/v1/members"
BYTES_PER_SECOND = 3000.0


@define
class Members:
    """Reads the list, within a budget; it may be many seconds old.

    At 1,800 VMs a whole list a second would be 250 KB/s for every process. So the
    list is asked for by its tag, and the size of a changed list decides how soon
    the next one may be read.

    Attributes
    ----------
    bytes_per_second : float
        What reading the list may cost, over time.
    """

    http: HttpClient
    bytes_per_second: float = BYTES_PER_SECOND
    _listed: list[Member] = field(factory=list)
    _tag: str = ""
    _next_at: float = 0.0

    async def read(self, now: float) -> list[Member]:
        """All VMs that the platform takes for live, as last read.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Raises
        ------
        PlatformUnavailable
            The list cannot be read now; the caller keeps what it has.
        """
        if now < self._next_at:
            return self._listed
        changed = await self.http.get_if_changed(PATH, self._tag)
        if changed:
            self._listed = understood(f"{self.http.base}{PATH}", changed.body, _listed)
            self._tag = changed.tag
            self._next_at = now + changed.wire_bytes / self.bytes_per_second
        return self._listed


def _listed(body: bytes) -> list[Member]:
    return [Member(**row) for row in orjson.loads(body)]
