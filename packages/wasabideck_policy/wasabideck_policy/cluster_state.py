"""The cluster state: what one process knows of the deployment, and since when."""

from __future__ import annotations

from attrs import define, field

from .backends import BackendRegistry
from .configuration import Configuration

__all__ = ["ClusterState", "DeclaredVersion"]

# Default of the time within which a declared configuration has to be in effect.
CONFIGURATION_DEADLINE_SECONDS = 2.0


@define
class DeclaredVersion:
    """A version of weights that the operators declared.

    Attributes
    ----------
    allowed_from : float
        Start of the time allowed for servers to change to the version, seconds.
    declaration_time_known : bool
        Whether the version was declared no earlier than ``allowed_from``. Otherwise its
        declaration time is unknown, and the version is treated as expired.
    received_at : float
        When this process learned of the version, which was declared before that.
    """

    number: int
    allowed_from: float
    declaration_time_known: bool = True
    received_at: float = float("-inf")

    def age(self, now: float) -> float:
        """Return the minimum number of seconds since the declaration."""
        return now - (
            self.allowed_from if self.declaration_time_known else self.received_at
        )


@define
class ClusterState:
    """Configuration, servers and declared versions, as far as this process knows.

    Attributes
    ----------
    started_at : float
        When this process started, seconds.
    servers_known : bool
        Whether the list of servers was read at least once.
    configuration_deadline_seconds : float
        Time within which a declared configuration has to be in effect.
    complete_until : float
        Everything that operators declared up to then is known here, seconds.
    entries : int
        Number of entries in the deployment, including this one.
    local_entries : int
        Number of those entries in this process's data centre.
    """

    started_at: float
    configuration: Configuration | None = None
    backends: BackendRegistry = field(factory=BackendRegistry)
    _versions: dict[str, list[DeclaredVersion]] = field(factory=dict)
    servers_known: bool = False
    configuration_deadline_seconds: float = CONFIGURATION_DEADLINE_SECONDS
    complete_until: float = float("-inf")
    entries: int = 1
    local_entries: int = 1

    @property
    def ready(self) -> bool:
        """Whether requests can be routed at all."""
        return self.configuration is not None and self.servers_known

    def stale(self, now: float) -> bool:
        """Whether a configuration may have to be in effect that was not yet received.

        What this process does not know is then refused as "not run" and not as
        "unknown".
        """
        return self.staleness(now) > self.configuration_deadline_seconds

    def staleness(self, now: float) -> float:
        """Return the maximum age in seconds of declarations that are missing here."""
        return now - self.complete_until

    def mark_complete(self, until: float) -> None:
        """Record that everything declared up to then is known here."""
        self.complete_until = max(self.complete_until, until)

    def declare_version(
        self,
        model: str,
        number: int,
        since: float,
        declaration_time_known: bool = True,
        received_at: float | None = None,
    ) -> bool:
        """Record a declared version; return whether it is newer than the known one."""
        if number <= self.newest_version(model):
            return False
        received_at = since if received_at is None else received_at
        declared = DeclaredVersion(number, since, declaration_time_known, received_at)
        self._versions.setdefault(model, []).append(declared)
        return True

    def record_declaration_time(self, model: str, number: int, since: float) -> bool:
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
            versions.append(DeclaredVersion(number, since))
            versions.sort(key=lambda declared: declared.number)
            return True
        if known.declaration_time_known and known.allowed_from <= since:
            return False
        if not known.declaration_time_known and known.received_at < since:
            # The version was already known here before the reported time.
            return False
        known.allowed_from, known.declaration_time_known = since, True
        return True

    def declaration_time_unknown(self, model: str) -> bool:
        """Whether the newest version's declaration time is only an estimate."""
        newest = self.newest(model)
        return newest is not None and not newest.declaration_time_known

    def models_without_declaration_time(
        self, allowed_seconds: float, now: float
    ) -> list[str]:
        """Return models with a version of unknown declaration time, if not expired.

        Parameters
        ----------
        allowed_seconds : float
            Seconds from a version's declaration until it expires.
        """
        return [
            model
            for model, versions in self._versions.items()
            if any(
                not v.declaration_time_known and v.age(now) < allowed_seconds
                for v in versions
            )
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
        if not all(
            v.declaration_time_known or v.age(now) >= allowed_seconds for v in reported
        ):
            return {}
        return {v.number: v.age(now) for v in reported}

    def newest_version(self, model: str) -> int:
        """Return the number of the newest declared version; 0 if there is none."""
        newest = self.newest(model)
        return newest.number if newest else 0

    def newest_with_known_time(self, model: str) -> int:
        """Return the newest version whose declaration time is known; 0 for none."""
        numbers = (
            v.number for v in self._versions.get(model, ()) if v.declaration_time_known
        )
        return max(numbers, default=0)

    def versions(self, model: str) -> list[int]:
        """Return the numbers of the known declared versions, the oldest first."""
        return [declared.number for declared in self._versions.get(model, ())]

    def newest(self, model: str) -> DeclaredVersion | None:
        """Return the newest declared version known here; None if there is none."""
        versions = self._versions.get(model)
        return versions[-1] if versions else None

    def min_version(self, model: str, allowed_seconds: float, now: float) -> int:
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
            if now - declared.allowed_from >= allowed_seconds
        )
        return max(due, default=0)

    def min_version_for_irreversible(
        self,
        model: str,
        allowed_seconds: float,
        at: float,
        unknown_time_hold_seconds: float,
    ) -> int:
        """Return ``min_version`` for irreversible steps.

        Unlike ``min_version``, it does not treat a version as due at once when its
        declaration time is unknown.

        Parameters
        ----------
        unknown_time_hold_seconds : float
            Seconds after which a version counts as due although its declaration time
            is still unknown.
        """
        due = (
            declared.number
            for declared in self._versions.get(model, ())
            if declared.age(at)
            >= (
                allowed_seconds
                if declared.declaration_time_known
                else unknown_time_hold_seconds
            )
        )
        return max(due, default=0)

    def expires_at(
        self, model: str, version: int, allowed_seconds: float
    ) -> float | None:
        """Return when requests may no longer start on a version, seconds.

        None while no newer version is declared.

        Parameters
        ----------
        allowed_seconds : float
            Seconds allowed for servers to change to a declared version.
        """
        newer = (
            v.allowed_from for v in self._versions.get(model, ()) if v.number > version
        )
        first = min(newer, default=None)
        return None if first is None else first + allowed_seconds
