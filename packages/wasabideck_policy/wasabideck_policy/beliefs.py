"""What one process believes of the deployment, and since when."""

from __future__ import annotations

from attrs import define, field

from .backends import Backends
from .configuration import Configuration

__all__ = ["Beliefs", "NamedVersion"]

# A process that has heard nothing of the store for so long may miss a newer
# configuration: what it does not know is then refused as not run, not as unknown.
STALE_SECONDS = 3.0


@define
class NamedVersion:
    """A version of weights that the operators named.

    Attributes
    ----------
    since : float
        From when on the time that a version may take is counted, seconds.
    """

    number: int
    since: float


@define
class Beliefs:
    """Configuration, servers and named versions, as far as this process has heard.

    Attributes
    ----------
    began : float
        When this process started, seconds.
    configured : bool
        Whether the list of servers was read at all.
    heard_at : float
        When the store, or a peer in its place, last answered, seconds.
    entries : int
        Entries of the deployment, this one counted.
    """

    began: float
    configuration: Configuration | None = None
    backends: Backends = field(factory=Backends)
    versions: dict[str, NamedVersion] = field(factory=dict)
    listed: bool = False
    heard_at: float = -STALE_SECONDS
    entries: int = 1

    @property
    def ready(self) -> bool:
        """Whether requests can be routed at all."""
        return self.configuration is not None and self.listed

    def stale(self, now: float) -> bool:
        """Whether a newer configuration may exist unheard."""
        return now - self.heard_at > STALE_SECONDS

    def name_version(self, model: str, number: int, since: float) -> bool:
        """Take in a named version; whether it is newer than the known one."""
        known = self.versions.get(model)
        if known is not None and number <= known.number:
            return False
        self.versions[model] = NamedVersion(number, since)
        return True

    def least_version(self, model: str, within: float, now: float) -> int:
        """The version that a request may begin on at least; 0 for any.

        Parameters
        ----------
        within : float
            Seconds that servers have to come to a named version.
        """
        named = self.versions.get(model)
        return named.number if named and now - named.since >= within else 0
