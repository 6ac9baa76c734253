"""Recalls requests from servers that would start them too late or delay a swap.

An entry decides when to send a request, but the server decides when to start it. The
entry can't know how long that takes: other entries send requests there too, prompts
differ, and servers slow down. So the expiry of a version is checked for as long as a
request may be started, and not only when it is sent.

A server that was ordered to load newer weights first finishes the requests that it has
started. Its longest streams would keep most of its slots idle for seconds, so they are
resumed at other servers.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field, frozen
from wasabideck_policy.backends import Backend
from wasabideck_policy.cluster_state import ClusterState
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.rollout_waves import DRAIN_SECONDS

from .server_connection import ServerResponse

__all__ = ["InFlightRequest", "InFlightRequests", "Recalled"]


class Recalled(WasabideckError):
    """A request was recalled from its server, which may be processing it.

    Even if the server had not shown that it had started the request, it may have
    started it at that very moment: the outcome is unknown.
    """

    status = 502


@frozen(eq=False)
class InFlightRequest:
    """A request that was sent to an engine.

    Attributes
    ----------
    may_resume_elsewhere : callable
        Returns whether another server can resume it at the given time.
    """

    response: ServerResponse
    backend: Backend
    engine: EngineModel
    may_resume_elsewhere: Callable[[float], bool] = lambda now: False


@define
class InFlightRequests:
    """Requests of this process that were sent to engines and have not ended."""

    cluster_state: ClusterState
    _requests: set[InFlightRequest] = field(factory=set)

    def add(self, request: InFlightRequest) -> None:
        """Record a request that is being sent."""
        self._requests.add(request)

    def discard(self, request: InFlightRequest) -> None:
        """Remove a request that has ended."""
        self._requests.discard(request)

    def recall_expired(self, max_age_seconds: float, now: float) -> None:
        """Recall requests that would be started on expired weights.

        The reader of the response gets ``Recalled`` and closes the connection, upon
        which the server drops the request.

        Parameters
        ----------
        max_age_seconds : float
            Seconds after the declaration of a version at which older ones expire.
        """
        for request in [
            request for request in self._requests if not request.response.started
        ]:
            required = self.cluster_state.min_version(
                request.engine.model, max_age_seconds, now
            )
            loaded_version = self._loaded_version(request, now)
            if loaded_version < required:
                self._fail(request, f"version {loaded_version}, {required} is due")

    def resume_draining_elsewhere(self, now: float) -> None:
        """Resume started streams elsewhere if their servers drain for too long."""
        for request in [
            request for request in self._requests if request.response.started
        ]:
            draining_since = self._backend(request).not_serving_since
            if draining_since is None or now - draining_since < DRAIN_SECONDS:
                continue
            if request.may_resume_elsewhere(now):
                self._requests.discard(request)
                request.response.request_failover()

    def _fail(self, request: InFlightRequest, why: str) -> None:
        self._requests.discard(request)
        request.response.fail(Recalled(f"{request.backend.server}: {why}"))

    def _backend(self, request: InFlightRequest) -> Backend:
        # A server that was listed again has a new Backend, which gets the reports of
        # its agent. One that was removed from the list still finishes its requests.
        return (
            self.cluster_state.backends.get(request.backend.server) or request.backend
        )

    def _loaded_version(self, request: InFlightRequest, now: float) -> int:
        """Return the version that the server starts requests on; 0 if unknown.

        An old report is still a lower bound: the weights of a running engine only get
        newer, and what it was ordered to load is loaded before a request starts.
        """
        backend = self._backend(request)
        loaded_version = backend.loaded_version(
            request.engine.model, request.engine.layers, now
        )
        reported = backend.report.version if backend.report else 0
        return max(loaded_version, reported)
