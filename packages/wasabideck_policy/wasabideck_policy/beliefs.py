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
    certain : bool
        Whether it was named no earlier than ``since``. Otherwise its date is unknown,
        and its time counts as over.
    heard_at : float
        When this process heard of it: it was named before.
    """

    number: int
    since: float
    certain: bool = True
    heard_at: float = float("-inf")

    def age(self, now: float) -> float:
        """Seconds since it was named, at the least."""
        return now - (self.since if self.certain else self.heard_at)


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
    near_entries : int
        Those of them in this process's data centre.
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
        """Whether a newer configuration may exist unheard."""
        return now - self.heard_at > STALE_SECONDS

    def name_version(
        self,
        model: str,
        number: int,
        since: float,
        certain: bool = True,
        heard_at: float | None = None,
    ) -> bool:
        """Take in a named version; whether it is newer than the known one."""
        if number <= self.newest_version(model):
            return False
        heard_at = since if heard_at is None else heard_at
        named = NamedVersion(number, since, certain, heard_at)
        self._versions.setdefault(model, []).append(named)
        return True

    def date_version(self, model: str, number: int, since: float) -> bool:
        """Take in when a version was named; whether it is older than was known.

        The oldest age counts: a process that heard late or stood still takes a version
        for younger, and none takes it for older than it can be.

        Also of one that the newest has overtaken, and that a process which began later
        never heard of: its time goes on, and what is older may not be begun after it.
        """
        versions = self._versions.setdefault(model, [])
        known = next((v for v in versions if v.number == number), None)
        if known is None:
            versions.append(NamedVersion(number, since))
            versions.sort(key=lambda named: named.number)
            return True
        if known.certain and known.since <= since:
            return False
        if not known.certain and known.heard_at < since:
            # It had been heard of by then.
            return False
        known.since, known.certain = since, True
        return True

    def undated(self, model: str) -> bool:
        """Whether the newest version was named at a time that is only guessed."""
        named = self.newest(model)
        return named is not None and not named.certain

    def undated_models(self, within: float, now: float) -> list[str]:
        """Models with a version of unknown date that may not be over yet.

        Parameters
        ----------
        within : float
            Seconds after which a version's time is over.
        """
        return [
            model
            for model, versions in self._versions.items()
            if any(not v.certain and v.age(now) < within for v in versions)
        ]

    def version_ages(self, model: str, within: float, now: float) -> dict[int, float]:
        """Seconds since versions were named, from the newest one that is over.

        Parameters
        ----------
        within : float
            Seconds after which a version's time is over.

        Returns
        -------
        ages : dict of int to float
            Nothing while the time of one that is not over is a guess: whoever is told
            has to know of all.
        """
        versions = self._versions.get(model, [])
        over = [v.number for v in versions if v.age(now) >= within]
        told = [v for v in versions if v.number >= max(over, default=0)]
        if not all(v.certain or v.age(now) >= within for v in told):
            return {}
        return {v.number: v.age(now) for v in told}

    def newest_version(self, model: str) -> int:
        """The newest version that was named; 0 when none was."""
        named = self.newest(model)
        return named.number if named else 0

    def newest_dated(self, model: str) -> int:
        """The newest version whose age is known, and not guessed; 0 for none."""
        dated = (v.number for v in self._versions.get(model, ()) if v.certain)
        return max(dated, default=0)

    def versions(self, model: str) -> list[int]:
        """Versions that were named, as far as is known, the oldest first."""
        return [named.number for named in self._versions.get(model, ())]

    def newest(self, model: str) -> NamedVersion | None:
        """The newest version that was named, as it is known here; None for none."""
        named = self._versions.get(model)
        return named[-1] if named else None

    def least_version(self, model: str, within: float, now: float) -> int:
        """The version that a request may begin on at least; 0 for any.

        Parameters
        ----------
        within : float
            Seconds that servers have to come to a named version.
        """
        # A version that is named while an older one is due gives that one no more
        # time: each counts from when it was named itself.
        due = (
            named.number
            for named in self._versions.get(model, ())
            if now - named.since >= within
        )
        return max(due, default=0)

    def surely_due(
        self, model: str, within: float, at: float, undated_after: float
    ) -> int:
        """Like ``least_version``, for what can't be undone: it waits for a date.

        Parameters
        ----------
        undated_after : float
            Seconds after which a version that still has no date counts as due.
        """
        due = (
            named.number
            for named in self._versions.get(model, ())
            if named.age(at) >= (within if named.certain else undated_after)
        )
        return max(due, default=0)

    def over_at(self, model: str, version: int, within: float) -> float | None:
        """When a version may not be begun any more, seconds; None while none is newer.

        Parameters
        ----------
        within : float
            Seconds that servers have to come to a named version.
        """
        newer = (v.since for v in self._versions.get(model, ()) if v.number > version)
        first = min(newer, default=None)
        return None if first is None else first + within
