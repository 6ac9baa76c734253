"""The cluster state: what one process knows of the deployment, and since when."""

from __future__ import annotations

from attrs import define, field

from .backends import Backends
from .configuration import Configuration

__all__ = ["Beliefs", "NamedVersion"]

# A process that has had no contact with the store for longer than this may lack a
# newer configuration. It then refuses what it does not know as "not run" instead of
# "unknown".
STALE_SECONDS = 3.0


@define
class NamedVersion:
    """A version of weights that the operators declared.

    Attributes
    ----------
    since : float
        Start of the time allowed for servers to change to the version, seconds.
    certain : bool
        Whether the version was declared no earlier than ``since``. Otherwise its
        declaration time is unknown, and the version is treated as expired.
    heard_at : float
        When this process learned of the version, which was declared before that.
    """

    number: int
    since: float
    certain: bool = True
    heard_at: float = float("-inf")

    def age(self, now: float) -> float:
        """Return the minimum number of seconds since the declaration."""
        return now - (self.since if self.certain else self.heard_at)


@define
class Beliefs:
    """Configuration, servers and declared versions, as far as this process knows.

    Attributes
    ----------
    began : float
        When this process started, seconds.
    listed : bool
        Whether the list of servers was read at least once.
    heard_at : float
        When the store, or a peer acting for it, last answered, seconds.
    entries : int
        Number of entries in the deployment, including this one.
    near_entries : int
        Number of those entries in this process's data centre.
    """

    began: float
    configuration: Configuration | None = None
    backends: Backends = field(factory=Backends)
    _versions: dict[str, list[NamedVersion]] = field(factory=dict)
    listed: bool = False
    heard_at: float = -STALE_SECONDS
    entries: int = 1
    near_entries: int = 1

    @property
    def ready(self) -> bool:
        """Whether requests can be routed at all."""
        return self.configuration is not None and self.listed

    def stale(self, now: float) -> bool:
        """Whether a newer configuration may exist that was not yet received."""
        return now - self.heard_at > STALE_SECONDS

    def name_version(
        self,
        model: str,
        number: int,
        since: float,
        certain: bool = True,
        heard_at: float | None = None,
    ) -> bool:
        """Record a declared version; return whether it is newer than the known one."""
        if number <= self.newest_version(model):
            return False
        heard_at = since if heard_at is None else heard_at
        declared = NamedVersion(number, since, certain, heard_at)
        self._versions.setdefault(model, []).append(declared)
        return True

    def date_version(self, model: str, number: int, since: float) -> bool:
        """Record a version's declaration time; return whether it is earlier than known.

        The earliest reported time wins: a process that learned of a version late, or
        that was paused, underestimates its age, and no process can overestimate it.

        The time is also recorded for a version that a newer one has replaced and that
        a process started later never received. Its deadline still applies: after it,
        no request may start on an older version.
        """
        versions = self._versions.setdefault(model, [])
        known = next((v for v in versions if v.number == number), None)
        if known is None:
            versions.append(NamedVersion(number, since))
            versions.sort(key=lambda declared: declared.number)
            return True
        if known.certain and known.since <= since:
            return False
        if not known.certain and known.heard_at < since:
            # The version was already known here before the reported time.
            return False
        known.since, known.certain = since, True
        return True

    def undated(self, model: str) -> bool:
        """Whether the newest version's declaration time is only an estimate."""
        newest = self.newest(model)
        return newest is not None and not newest.certain

    def undated_models(self, allowed_seconds: float, now: float) -> list[str]:
        """Return models with a version of unknown declaration time, if not expired.

        Parameters
        ----------
        allowed_seconds : float
            Seconds from a version's declaration until it expires.
        """
        return [
            model
            for model, versions in self._versions.items()
            if any(not v.certain and v.age(now) < allowed_seconds for v in versions)
        ]

    def version_ages(
        self, model: str, allowed_seconds: float, now: float
    ) -> dict[int, float]:
        """Return the ages of the newest expired version and of all newer ones.

        Parameters
        ----------
        allowed_seconds : float
            Seconds from a version's declaration until it expires.

        Returns
        -------
        ages : dict of int to float
            Seconds since the declaration, by version number. Empty while the
            declaration time of a version that has not expired is only an estimate,
            since the receiver needs the ages of all versions.
        """
        versions = self._versions.get(model, [])
        expired = [v.number for v in versions if v.age(now) >= allowed_seconds]
        reported = [v for v in versions if v.number >= max(expired, default=0)]
        if not all(v.certain or v.age(now) >= allowed_seconds for v in reported):
            return {}
        return {v.number: v.age(now) for v in reported}

    def newest_version(self, model: str) -> int:
        """Return the number of the newest declared version; 0 if there is none."""
        newest = self.newest(model)
        return newest.number if newest else 0

    def newest_dated(self, model: str) -> int:
        """Return the newest version whose declaration time is known; 0 for none."""
        numbers = (v.number for v in self._versions.get(model, ()) if v.certain)
        return max(numbers, default=0)

    def versions(self, model: str) -> list[int]:
        """Return the numbers of the known declared versions, the oldest first."""
        return [declared.number for declared in self._versions.get(model, ())]

    def newest(self, model: str) -> NamedVersion | None:
        """Return the newest declared version known here; None if there is none."""
        versions = self._versions.get(model)
        return versions[-1] if versions else None

    def least_version(self, model: str, allowed_seconds: float, now: float) -> int:
        """Return the oldest version on which a request may start; 0 for any.

        Parameters
        ----------
        allowed_seconds : float
            Seconds allowed for servers to change to a declared version.
        """
        # The deadline of each version counts from its own declaration: declaring a
        # newer version does not extend the deadline of an older one.
        due = (
            declared.number
            for declared in self._versions.get(model, ())
            if now - declared.since >= allowed_seconds
        )
        return max(due, default=0)

    def surely_due(
        self, model: str, allowed_seconds: float, at: float, undated_after: float
    ) -> int:
        """Return ``least_version`` for irreversible steps.

        Unlike ``least_version``, it does not treat a version as due at once when its
        declaration time is unknown.

        Parameters
        ----------
        undated_after : float
            Seconds after which a version counts as due although its declaration time
            is still unknown.
        """
        due = (
            declared.number
            for declared in self._versions.get(model, ())
            if declared.age(at)
            >= (allowed_seconds if declared.certain else undated_after)
        )
        return max(due, default=0)

    def over_at(self, model: str, version: int, allowed_seconds: float) -> float | None:
        """Return when requests may no longer start on a version, seconds.

        None while no newer version is declared.

        Parameters
        ----------
        allowed_seconds : float
            Seconds allowed for servers to change to a declared version.
        """
        newer = (v.since for v in self._versions.get(model, ()) if v.number > version)
        first = min(newer, default=None)
        return None if first is None else first + allowed_seconds
