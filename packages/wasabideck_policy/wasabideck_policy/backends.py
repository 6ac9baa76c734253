"""What a process believes of the backend servers, from the platform's list."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping

from attrs import define, field, frozen

from .engine_news import FRESH_SECONDS, EngineNews

__all__ = ["MOST_SILENT_PART", "Backend", "Backends", "Listed", "Loaded"]

# After an outage of the list, a server that lived through it is listed again within
# about two seconds; its entry's removal is not believed for so long (seconds).
RETURN_SECONDS = 2.0
# A removal that an outage caused takes many servers away in one answer. From this
# share of a service on, the removals are held as after a known outage.
MASS_SHARE = 0.34
MASS_LEAST = 3
# Unless an outage is known they may as well have left together: they are held only as
# long as a leaving server may get requests, less what word of it takes (seconds).
MASS_SECONDS = 1.2
# With requests of this process on it, a server of which neither a byte nor its agent's
# news came for so long is passed over (seconds): an engine tells at least at each pass
# of its batch, 50 to 150 ms, and an agent four times a second, or once from afar.
QUIET_SECONDS = 0.7
# With more than this part of several servers silent the fault is rather on the way to
# them, or this process's own.
MOST_SILENT_PART = 0.5
WAY_LEAST = 3
# Half of that time is enough when all around it are as quiet: the first stream to be
# given up would else be the one that the others have not yet joined (seconds).
WAY_QUIET_SECONDS = QUIET_SECONDS / 2


@frozen
class Loaded:
    """Layers of a model's version that an engine holds, ``last`` left out."""

    model: str
    version: int
    first: int
    last: int


@frozen
class Listed:
    """One server as the platform's list gives it.

    Attributes
    ----------
    server : str
        Name of one start of the server; a restart mostly has another.
    born : int
        When it started, milliseconds of wall time; 0 when not told.
    cold_seconds : float
        How much longer it is slow after its start.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int = 0
    leaving: bool = False
    cold_seconds: float = 0.0
    loaded: tuple[Loaded, ...] = ()
    born: int = 0


@define(eq=False)
class Backend:
    """One server: what the list says, and what this process saw itself.

    Attributes
    ----------
    in_progress : int
        Requests of this process on it now.
    asked_at : float
        When the first request was sent since which nothing was heard of it, or that
        it has had since it had none, seconds.
    sent_since : int
        Requests that this process sent to it since its agent last told.
    unread : set
        Requests of this process whose first event has not come.
    others : float
        Requests of other processes on it when it last told.
    told_at : float
        When it last told its load, seconds; 0 when it never did.
    heard_at : float
        When any byte last came from it, seconds.
    versions : dict of str to int
        Versions of weights that its answers or its agent told of, by model.
    news : EngineNews or None
        What its agent last told, at ``news_at``; its own answers tell of load only.
    stopping_since : float or None
        Since when its agent has said that it takes no new requests, seconds.
    full_until : float
        Until when it is taken to be full, having refused a request.
    held_until : float
        Until when its removal from the list is not believed; 0 while it is listed.
    """

    listed: Listed
    in_progress: int = 0
    asked_at: float = float("-inf")
    sent_since: int = 0
    unread: set[Hashable] = field(factory=set)
    others: float = 0.0
    told_at: float = 0.0
    heard_at: float = 0.0
    news: EngineNews | None = None
    news_at: float = 0.0
    stopping_since: float | None = None
    full_until: float = 0.0
    held_until: float = 0.0
    versions: dict[str, int] = field(factory=dict)

    @property
    def server(self) -> str:
        """Name of this start of the server."""
        return self.listed.server

    def begin(self, now: float) -> None:
        """Count one more request of this process on it."""
        # Requests that were given up without a word do not make it talk: counted from
        # the next one, it would draw requests for another while.
        if self.in_progress == 0 and self._last_sign() > self.asked_at:
            self.asked_at = now
        self.in_progress += 1
        self.sent_since += 1

    def silent(self, now: float, quiet: float = QUIET_SECONDS) -> bool:
        """Whether nothing was heard of it for long while requests wait on it.

        One that has none of them is not silent, so that one is always tried on it.
        """
        last = max(self.asked_at, self._last_sign())
        return self.in_progress > 0 and now - last > quiet

    def _last_sign(self) -> float:
        return max(self.heard_at, self.news_at)

    def hear_load(self, total: int, now: float) -> None:
        """Take in the load that it told itself, with an answer."""
        self.others = max(0, total - self.in_progress)
        self.told_at = now
        if self.fresh_news(now) is None:
            # Its agent is gone: what the others are taken to have sent would only grow
            # with each request, and a sound server would look full for good.
            self.sent_since = 0

    def hear(self, news: EngineNews, now: float) -> None:
        """Take in what its agent tells of it."""
        self.news = news
        if news.serving:
            self.stopping_since = None
        elif self.stopping_since is None:
            self.stopping_since = now
        self.others = max(0, news.pressed - self.in_progress)
        self.told_at = self.news_at = now
        self.sent_since = 0

    def fresh_news(self, now: float) -> EngineNews | None:
        """What its agent told, unless that was too long ago."""
        return self.news if now - self.news_at <= FRESH_SECONDS else None

    def holds(self, model: str, layers: int, now: float) -> int:
        """Version of which it holds all layers of the model; 0 for none."""
        if news := self.fresh_news(now):
            return news.version
        told = self.versions.get(model, 0)
        if told:
            return told
        whole = [
            part.version
            for part in self.listed.loaded
            if part.model == model and part.first == 0 and part.last >= layers
        ]
        return max(whole, default=0)


@define
class Backends:
    """Servers by name; entries that lapsed in an outage of the list are held.

    Attributes
    ----------
    outage_ended : float
        When the list was last back after an outage, seconds.
    mass_seconds : float
        How long a mass of removals is not believed without a known outage.
    """

    _known: dict[str, Backend] = field(factory=dict)
    outage_ended: float = -RETURN_SECONDS
    mass_seconds: float = MASS_SECONDS
    _at: dict[str, Backend] = field(factory=dict)
    _of_service: dict[str, tuple[Backend, ...]] = field(factory=dict)
    _near: dict[tuple[str, str], tuple[Backend, ...]] = field(factory=dict)
    _indexed: bool = False
    _held_first: float = float("inf")

    def __len__(self) -> int:
        return len(self._known)

    def names(self) -> set[str]:
        """All known servers."""
        return set(self._known)

    def get(self, server: str) -> Backend | None:
        """A known server, or None."""
        return self._known.get(server)

    def of_service(self, service: str, now: float) -> tuple[Backend, ...]:
        """Servers of a service that may get new requests now."""
        self._drop_removed(now)
        self._index()
        return self._of_service.get(service, ())

    def near(self, service: str, data_centre: str, now: float) -> tuple[Backend, ...]:
        """Those of a service in one data centre that may get new requests now."""
        self._drop_removed(now)
        self._index()
        return self._near.get((service, data_centre), ())

    def may_get(self, server: str, now: float) -> bool:
        """Whether a server may still get new requests now."""
        self._drop_removed(now)
        known = self._known.get(server)
        return known is not None and not known.listed.leaving

    def way_silent(self, data_centre: str, now: float) -> bool:
        """Whether the way to a data centre is silent, and not one server there.

        A link between regions that is full for a second keeps the answers of all
        servers behind it. Each stream from there would be given up, and begun again
        over the same link at another server that is as silent.
        """
        busy = [
            b
            for b in self._known.values()
            if b.listed.data_centre == data_centre and b.in_progress > 0
        ]
        silent = sum(b.silent(now, WAY_QUIET_SECONDS) for b in busy)
        return len(busy) >= WAY_LEAST and silent > len(busy) * MOST_SILENT_PART

    def at(self, address: str) -> Backend | None:
        """The server at an address, the youngest one if several are listed there."""
        self._index()
        return self._at.get(address)

    def take(self, listed: Listed) -> Backend:
        """Take in one entry of the list."""
        self._indexed = False
        known = self._known.get(listed.server)
        if known is None or known.listed.address != listed.address:
            known = self._known[listed.server] = Backend(listed)
            return known
        if known.listed.born != listed.born:
            # It started again under its name and holds nothing of before.
            known = self._known[listed.server] = Backend(listed)
        elif known.listed.loaded != listed.loaded:
            known.versions.clear()
        known.listed = listed
        known.held_until = 0.0
        return known

    def keep_only(self, listed: set[str], now: float, since: float) -> list[str]:
        """Remove what a whole list lacks; returns which servers those are."""
        gone = [name for name in self._known if name not in listed]
        self.remove(gone, now, since)
        return gone

    def remove(
        self, servers: Iterable[str], now: float, since: float | None = None
    ) -> None:
        """Note that entries were removed: gone at once, or held after an outage.

        Parameters
        ----------
        since : float or None
            From when on they may have been removed, seconds; None for now. Servers that
            left together may get requests for a while from then on, and not from when
            this was heard of.
        """
        self._indexed = False
        since = now if since is None else since
        found = [self._known[name] for name in servers if name in self._known]
        held_until = self.outage_ended + RETURN_SECONDS
        if self._is_mass(found):
            held_until = max(held_until, since + self.mass_seconds)
        for backend in found:
            # One that was leaving when it was last listed has left.
            if held_until <= now or backend.listed.leaving:
                del self._known[backend.server]
            elif not backend.held_until:
                backend.held_until = held_until
                self._held_first = min(self._held_first, held_until)

    def _is_mass(self, removed: list[Backend]) -> bool:
        """Whether so many of a service vanished at once that the list is at fault."""
        sizes = _count(self._known.values())
        lost = _count(b for b in removed if not b.listed.leaving)
        return any(
            n >= MASS_LEAST and n > MASS_SHARE * sizes[name] for name, n in lost.items()
        )

    def _index(self) -> None:
        """Sort servers by address and by service, if any of them has changed.

        Each request and each word of an agent looks servers up, and at the target size
        there are hundreds of both a second, and over a thousand servers.
        """
        if self._indexed:
            return
        self._indexed = True
        self._at = {}
        for b in self._known.values():
            other = self._at.get(b.listed.address)
            if other is None or other.listed.born < b.listed.born:
                self._at[b.listed.address] = b
        found: dict[str, list[Backend]] = {}
        for b in self._known.values():
            if not b.listed.leaving and not _outlived(b, self._at):
                found.setdefault(b.listed.service, []).append(b)
        self._of_service = {name: tuple(some) for name, some in found.items()}
        near: dict[tuple[str, str], list[Backend]] = {}
        for name, some in found.items():
            for b in some:
                near.setdefault((name, b.listed.data_centre), []).append(b)
        self._near = {place: tuple(some) for place, some in near.items()}

    def _drop_removed(self, now: float) -> None:
        if now < self._held_first:
            return
        self._indexed = False
        for backend in list(self._known.values()):
            if backend.held_until and now >= backend.held_until:
                del self._known[backend.server]
        held = (b.held_until for b in self._known.values() if b.held_until)
        self._held_first = min(held, default=float("inf"))


def _outlived(backend: Backend, youngest: Mapping[str, Backend]) -> bool:
    """Whether a younger server is listed at the address.

    After a loss of power the entries of servers that are gone stay listed for seconds,
    with the weights that they held. A process that starts then has no other word of
    them, and what it sends there comes back refused, one try spent.
    """
    born = backend.listed.born
    return 0 < born < youngest[backend.listed.address].listed.born


def _count(backends: Iterable[Backend]) -> Mapping[str, int]:
    counts: dict[str, int] = {}
    for backend in backends:
        service = backend.listed.service
        counts[service] = counts.get(service, 0) + 1
    return counts
