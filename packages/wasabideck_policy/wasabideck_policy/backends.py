"""State of the backend servers, from the platform's list and from their reports."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping

from attrs import define, field, frozen

from .engine_report import MAX_REPORT_AGE_SECONDS, EngineReport

__all__ = [
    "MAX_UNRESPONSIVE_RATIO",
    "Backend",
    "BackendRegistry",
    "ListedServer",
    "LoadedLayers",
]

# After an outage of the list, a server that is still running is listed again within
# about two seconds. Until then, its removal from the list is ignored.
RELISTING_SECONDS = 2.0
# An outage removes many servers from the list in one response. When more than this
# fraction of a service is removed at once, the servers are kept for a while, as after
# a known outage.
MASS_REMOVAL_RATIO = 0.34
MIN_MASS_REMOVAL_SERVERS = 3
# Without a known outage, the removed servers may as well have shut down together. They
# are kept only as long as a server that shuts down may get requests, less the time
# in which its removal is received.
MASS_REMOVAL_HOLD_SECONDS = 1.2
# A server that has requests of this process counts as unresponsive if neither a byte
# nor a report of its agent was received for this time. An engine sends data at least
# at each pass of its batch, 50 to 150 ms, and an agent reports four times a second, or
# once a second to remote entries.
UNRESPONSIVE_SECONDS = 0.7
# If more than this fraction of several servers is unresponsive, the cause is rather the
# network to them, or this process itself.
MAX_UNRESPONSIVE_RATIO = 0.5
MIN_SERVERS_FOR_NETWORK_FAULT = 3
# Half of that time is enough when most servers of a data centre are unresponsive:
# otherwise the first stream would be cancelled before the other servers count as
# unresponsive too.
NETWORK_UNRESPONSIVE_SECONDS = UNRESPONSIVE_SECONDS / 2


@frozen
class LoadedLayers:
    """Range of layers of a model's version that an engine holds, ``last`` excluded."""

    model: str
    version: int
    first: int
    last: int


@frozen
class ListedServer:
    """One server as described by the platform's list.

    Attributes
    ----------
    server : str
        Name of one run of the server; a restarted server usually has another name.
    started_at_ms : int
        Start time, milliseconds of wall time; 0 if unknown.
    cold_seconds : float
        Remaining time for which it is slow after its start.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int = 0
    leaving: bool = False
    cold_seconds: float = 0.0
    loaded: tuple[LoadedLayers, ...] = ()
    started_at_ms: int = 0


@define(eq=False)
class Backend:
    """State of one server: its list entry, and what this process observed.

    Attributes
    ----------
    in_progress : int
        Requests of this process that are on it now.
    waiting_since : float
        When the current wait for data began, seconds: this process sent a request
        while it had none on the server, and had received data since the last wait.
    sent_since_report : int
        Requests that this process sent to it since its agent's last report.
    unread_prompts : set
        Requests of this process whose first event has not been received.
    other_requests : float
        Requests of other processes on it according to the last report of its load.
    load_reported_at : float
        When its load was last reported, seconds; 0 if it never was.
    last_received_at : float
        When any byte was last received from it, seconds.
    versions : dict of str to int
        Versions of weights that its responses or its agent reported, by model.
    report : EngineReport or None
        Last report of its agent, received at ``reported_at``. Responses of the server
        itself report only its load.
    not_serving_since : float or None
        Since when its agent has reported that it accepts no new requests, seconds.
    full_until : float
        Until when it counts as full, because it refused a request.
    kept_until : float
        Until when its removal from the list is ignored; 0 while it is listed.
    """

    listed: ListedServer
    in_progress: int = 0
    waiting_since: float = float("-inf")
    sent_since_report: int = 0
    unread_prompts: set[Hashable] = field(factory=set)
    other_requests: float = 0.0
    load_reported_at: float = 0.0
    last_received_at: float = 0.0
    report: EngineReport | None = None
    reported_at: float = 0.0
    not_serving_since: float | None = None
    full_until: float = 0.0
    kept_until: float = 0.0
    versions: dict[str, int] = field(factory=dict)

    @property
    def server(self) -> str:
        """Name of this run of the server."""
        return self.listed.server

    def add_request(self, now: float) -> None:
        """Record that this process sends one more request to it."""
        # A server that sent no data before its requests were cancelled remains
        # unresponsive: if the wait started anew with the next request, it would attract
        # requests for another while.
        if self.in_progress == 0 and self._last_received_at() > self.waiting_since:
            self.waiting_since = now
        self.in_progress += 1
        self.sent_since_report += 1

    def is_unresponsive(self, now: float, limit: float = UNRESPONSIVE_SECONDS) -> bool:
        """Whether it sent no data for too long while requests wait on it.

        A server without requests counts as responsive, so that one request at a time
        is always tried on it.
        """
        since = max(self.waiting_since, self._last_received_at())
        return self.in_progress > 0 and now - since > limit

    def _last_received_at(self) -> float:
        return max(self.last_received_at, self.reported_at)

    def apply_load(self, total: int, now: float) -> None:
        """Record the load that the server itself reported in a response."""
        self.other_requests = max(0, total - self.in_progress)
        self.load_reported_at = now
        if self.recent_report(now) is None:
            # Its agent is lost. The assumed requests of other entries would only grow
            # with each request, and a healthy server would seem full forever.
            self.sent_since_report = 0

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Record a report of its agent."""
        self.report = report
        if report.serving:
            self.not_serving_since = None
        elif self.not_serving_since is None:
            self.not_serving_since = now
        self.other_requests = max(0, report.load - self.in_progress)
        self.load_reported_at = self.reported_at = now
        self.sent_since_report = 0

    def recent_report(self, now: float) -> EngineReport | None:
        """Return the last report of its agent, or None if it is too old."""
        return self.report if now - self.reported_at <= MAX_REPORT_AGE_SECONDS else None

    def loaded_version(self, model: str, layers: int, now: float) -> int:
        """Return the version of which it holds all layers of the model; 0 for none."""
        if report := self.recent_report(now):
            return report.version
        reported = self.versions.get(model, 0)
        if reported:
            return reported
        complete = [
            loaded.version
            for loaded in self.listed.loaded
            if loaded.model == model and loaded.first == 0 and loaded.last >= layers
        ]
        return max(complete, default=0)


@define
class BackendRegistry:
    """Servers by name; entries that expired in an outage of the list are kept.

    Attributes
    ----------
    outage_ended_at : float
        When the list last became available again after an outage, seconds.
    mass_removal_hold_seconds : float
        How long a mass removal is ignored if no outage is known.
    """

    _known: dict[str, Backend] = field(factory=dict)
    outage_ended_at: float = -RELISTING_SECONDS
    mass_removal_hold_seconds: float = MASS_REMOVAL_HOLD_SECONDS
    _at: dict[str, Backend] = field(factory=dict)
    _of_service: dict[str, tuple[Backend, ...]] = field(factory=dict)
    _near: dict[tuple[str, str], tuple[Backend, ...]] = field(factory=dict)
    _indexed: bool = False
    _next_kept_until: float = float("inf")

    def __len__(self) -> int:
        return len(self._known)

    def names(self) -> set[str]:
        """Return the names of all known servers."""
        return set(self._known)

    def get(self, server: str) -> Backend | None:
        """Return a known server, or None."""
        return self._known.get(server)

    def in_service(self, service: str, now: float) -> tuple[Backend, ...]:
        """Return the servers of a service that may get new requests now."""
        self._drop_removed(now)
        self._index()
        return self._of_service.get(service, ())

    def in_data_centre(
        self, service: str, data_centre: str, now: float
    ) -> tuple[Backend, ...]:
        """Return the servers in one data centre that may get new requests now."""
        self._drop_removed(now)
        self._index()
        return self._near.get((service, data_centre), ())

    def accepts_requests(self, server: str, now: float) -> bool:
        """Whether a server may still get new requests now."""
        self._drop_removed(now)
        known = self._known.get(server)
        return known is not None and not known.listed.leaving

    def is_network_unresponsive(self, data_centre: str, now: float) -> bool:
        """Whether the network to a data centre is unresponsive, and not one server.

        A link between regions that is saturated for a second delays the responses of
        all servers behind it. Each stream from there would be cancelled, and started
        again over the same link at another server that is as unresponsive.
        """
        busy = [
            b
            for b in self._known.values()
            if b.listed.data_centre == data_centre and b.in_progress > 0
        ]
        unresponsive = sum(
            b.is_unresponsive(now, NETWORK_UNRESPONSIVE_SECONDS) for b in busy
        )
        return (
            len(busy) >= MIN_SERVERS_FOR_NETWORK_FAULT
            and unresponsive > len(busy) * MAX_UNRESPONSIVE_RATIO
        )

    def find_by_address(self, address: str) -> Backend | None:
        """Return the server at an address; of several, the last one that started."""
        self._index()
        return self._at.get(address)

    def update(self, listed: ListedServer) -> Backend:
        """Add or update one entry of the list, and return its server."""
        self._indexed = False
        known = self._known.get(listed.server)
        if known is None or known.listed.address != listed.address:
            known = self._known[listed.server] = Backend(listed)
            return known
        if known.listed.started_at_ms != listed.started_at_ms:
            # It restarted under the same name and has lost its former state.
            known = self._known[listed.server] = Backend(listed)
        elif known.listed.loaded != listed.loaded:
            known.versions.clear()
        known.listed = listed
        known.kept_until = 0.0
        return known

    def remove_unlisted(self, listed: set[str], now: float, since: float) -> list[str]:
        """Remove the servers that a complete list lacks, and return their names."""
        removed = [name for name in self._known if name not in listed]
        self.remove(removed, now, since)
        return removed

    def remove(
        self, servers: Iterable[str], now: float, since: float | None = None
    ) -> None:
        """Remove servers from the list, now or, after an outage, a while later.

        Parameters
        ----------
        since : float or None
            Earliest time of their removal, seconds; None for now. Servers that shut
            down together may get requests for a while after that time, and not after
            the time at which their removal was received.
        """
        self._indexed = False
        since = now if since is None else since
        removed = [self._known[name] for name in servers if name in self._known]
        kept_until = self.outage_ended_at + RELISTING_SECONDS
        if self._is_mass_removal(removed):
            kept_until = max(kept_until, since + self.mass_removal_hold_seconds)
        for backend in removed:
            # A server that was last listed as shutting down has shut down.
            if kept_until <= now or backend.listed.leaving:
                del self._known[backend.server]
            elif not backend.kept_until:
                backend.kept_until = kept_until
                self._next_kept_until = min(self._next_kept_until, kept_until)

    def _is_mass_removal(self, removed: list[Backend]) -> bool:
        """Whether so many servers were removed at once that the list is at fault."""
        sizes = _count_by_service(self._known.values())
        lost = _count_by_service(b for b in removed if not b.listed.leaving)
        return any(
            n >= MIN_MASS_REMOVAL_SERVERS and n > MASS_REMOVAL_RATIO * sizes[name]
            for name, n in lost.items()
        )

    def _index(self) -> None:
        """Index servers by address and by service, if any of them has changed.

        Each request and each agent's report looks servers up. In a deployment of the
        target size there are hundreds of both a second, and over a thousand servers.
        """
        if self._indexed:
            return
        self._indexed = True
        self._at = {}
        for b in self._known.values():
            other = self._at.get(b.listed.address)
            if other is None or other.listed.started_at_ms < b.listed.started_at_ms:
                self._at[b.listed.address] = b
        found: dict[str, list[Backend]] = {}
        for b in self._known.values():
            if not b.listed.leaving and not _is_replaced(b, self._at):
                found.setdefault(b.listed.service, []).append(b)
        self._of_service = {name: tuple(members) for name, members in found.items()}
        by_data_centre: dict[tuple[str, str], list[Backend]] = {}
        for name, members in found.items():
            for b in members:
                by_data_centre.setdefault((name, b.listed.data_centre), []).append(b)
        self._near = {key: tuple(members) for key, members in by_data_centre.items()}

    def _drop_removed(self, now: float) -> None:
        if now < self._next_kept_until:
            return
        self._indexed = False
        for backend in list(self._known.values()):
            if backend.kept_until and now >= backend.kept_until:
                del self._known[backend.server]
        held = (b.kept_until for b in self._known.values() if b.kept_until)
        self._next_kept_until = min(held, default=float("inf"))


def _is_replaced(backend: Backend, latest_at: Mapping[str, Backend]) -> bool:
    """Whether a server with a later start is listed at the same address.

    After a power loss, the entries of terminated servers stay listed for seconds, with
    the weights that they held. A process that starts then has no other information on
    them; the requests that it sends there are refused, which costs each one attempt.
    """
    born = backend.listed.started_at_ms
    return 0 < born < latest_at[backend.listed.address].listed.started_at_ms


def _count_by_service(backends: Iterable[Backend]) -> Mapping[str, int]:
    counts: dict[str, int] = {}
    for backend in backends:
        service = backend.listed.service
        counts[service] = counts.get(service, 0) + 1
    return counts
