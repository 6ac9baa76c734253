"""The cluster state: what one process knows of the deployment, and since when."""

from __future__ import annotations

from attrs import define, field

from .backends import BackendRegistry
from .configuration import Configuration

__all__ = ["ClusterState", "DeclaredVersion"]

# Default of the time within which a declared configuration has to be in effect.
CONFIGURATION_DEADLINE_SECONDS = 2.0
# Maximum models, and versions of one model, whose declaration times are kept. Models in
# excess are ignored, and the oldest versions are dropped: all but a few have expired.
MAX_MODELS = 1000
MAX_VERSIONS_PER_MODEL = 200


@define
class DeclaredVersion:
    """A version of weights that the operators declared.

    Its declaration time is known as an interval, ``allowed_from`` to ``declared_by``.

    Attributes
    ----------
    allowed_from : float
        Start of the time allowed for servers to change to the version, seconds: the
        earliest possible declaration.
    declaration_time_known : bool
        Whether ``allowed_from`` follows from what the store or a peer reported.
        Otherwise the declaration time has no lower bound, and the version is treated as
        expired.
    declared_by : float
        The latest possible declaration, no later than this process learned of it.
    is_estimate : bool
        Whether the version may have been declared before ``allowed_from`` although that
        was reported.
    """

    number: int
    allowed_from: float
    declaration_time_known: bool = True
    declared_by: float = float("-inf")
    is_estimate: bool = False

    def age(self, now: float) -> float:
        """Return the number of seconds for which the version counts as declared.

        That is its maximum age; its minimum age if there is no maximum.
        """
        return now - (
            self.allowed_from if self.declaration_time_known else self.declared_by
        )

    @property
    def age_error(self) -> float:
        """By how many seconds ``age`` may exceed the real age."""
        if not self.declaration_time_known:
            return 0.0
        return max(0.0, self.declared_by - self.allowed_from)

    def narrow(self, earliest: float, latest: float, is_estimate: bool) -> bool:
        """Merge a report of the declaration time; return whether the earliest changed.

        See ``ClusterState.record_declaration_time``.
        """
        if earliest > self.declared_by:
            return False
        was = self.allowed_from if self.declaration_time_known else None
        agrees = was is not None and latest >= was
        self.declared_by = min(self.declared_by, latest)
        if agrees and is_estimate:
            self.allowed_from = min(was, earliest) if self.is_estimate else was
        elif agrees and not self.is_estimate:
            self.allowed_from = max(was, earliest)
        else:
            self.allowed_from, self.is_estimate = earliest, is_estimate
        self.declaration_time_known = True
        return self.allowed_from != was


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
        declared_by: float | None = None,
    ) -> bool:
        """Record a declared version; return whether it is newer than the known one.

        Parameters
        ----------
        since : float
            The earliest possible declaration, seconds.
        declared_by : float, optional
            The latest possible one; ``since`` by default.
        """
        if number <= self.newest_version(model):
            return False
        declared_by = since if declared_by is None else declared_by
        declared = DeclaredVersion(number, since, declaration_time_known, declared_by)
        return self._add_version(model, declared)

    def record_declaration_time(
        self,
        model: str,
        number: int,
        earliest: float,
        latest: float | None = None,
        is_estimate: bool = False,
    ) -> bool:
        """Merge a report of a declaration time; return whether the earliest changed.

        Reports that overlap are intersected, so that no exchange of ages between peers
        makes a version older. Of reports that contradict each other the earlier wins: a
        process that learned of a version late, or that was suspended, underestimates
        its age, and no process overestimates it by more than it says.

        The time is also recorded for a version that a newer one has replaced and that
        a process started later never received. Its deadline still applies: after it,
        no request may start on an older version.

        Parameters
        ----------
        earliest, latest : float
            Bounds of the declaration time, seconds; both the same by default.
        is_estimate : bool
            Whether ``earliest`` is no real bound, as where a message's transit time is
            unknown. It then replaces no earlier one, and any real bound replaces it.
        """
        latest = earliest if latest is None else latest
        versions = self._versions.get(model, [])
        known = next((v for v in versions if v.number == number), None)
        if known is not None:
            return known.narrow(earliest, latest, is_estimate)
        declared = DeclaredVersion(number, earliest, True, latest, is_estimate)
        return self._add_version(model, declared)

    def _add_version(self, model: str, declared: DeclaredVersion) -> bool:
        """Add a version unless there are too many models; drop the oldest of many."""
        if model not in self._versions and len(self._versions) >= MAX_MODELS:
            return False
        versions = self._versions.setdefault(model, [])
        versions.append(declared)
        versions.sort(key=lambda version: version.number)
        del versions[:-MAX_VERSIONS_PER_MODEL]
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

    def version_age_errors(self, model: str) -> dict[int, float]:
        """Return by how many seconds the versions may be younger than their ages."""
        return {v.number: v.age_error for v in self._versions.get(model, [])}

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
