"""State of a request that is being served, and of its response's delivery."""

from __future__ import annotations

from attrs import define, field
from wasabideck_policy.configuration import EngineModel, Route

from .event_stream import EventSplitter
from .http_heads import CallerRequest, ResponseHead

__all__ = ["DeliveryProgress", "Exchange"]


@define(eq=False)
class DeliveryProgress:
    """The part of a response that the caller has so far.

    Attributes
    ----------
    last_event_id : bytes
        Id of the last event that was written to the caller.
    event_count : int
        Number of events that were written to the caller.
    fallback : tuple or None
        Head and body of a server's failure, used if no other server does better.
    """

    last_event_id: bytes = b""
    event_count: int = 0
    splitter: EventSplitter = field(factory=EventSplitter)
    fallback: tuple[ResponseHead, bytes] | None = None


@define(eq=False)
class Exchange:
    """A request that is being served.

    Attributes
    ----------
    expires_at : float
        When the request times out in this process, seconds.
    caller_deadline : float or None
        When the caller stops waiting, seconds.
    unreachable_count : int
        Number of tried servers that no connection could be made to.
    possibly_executed_by : set of str
        Servers that received the request and have not reported that it was not run.
    prioritised : bool
        Whether the request is in the share that engines run before the others.
    is_caller_retry : bool
        Whether the request is a caller's retry, judged by the time that it has left.
    waited : bool
        Whether the request waited in this process for a server.
    urgency : int or None
        Urgency class at the engine.
    first_event_seconds : float or None
        Time from the request's arrival to the first event of its stream.
    first_event_at : dict of str to float
        When a server sent its first event of the stream, by server, in seconds.
    known_rounds : dict of str to dict
        Rounds of crashes that were known for its prompt's parts when it was sent to a
        server, by server.
    rounds_met : list of dict
        The same for the servers whose connections failed meanwhile.
    weights_version : int
        Version that the server was known to hold when the request was last sent; 0 for
        none.
    weights_expire_in : float or None
        Seconds from then until that version expires; None without expiry.
    delivered : DeliveryProgress
        The part of the response that the caller has so far.
    """

    req: CallerRequest
    route: Route
    service: str
    expires_at: float
    caller_deadline: float | None
    organisation: str = ""
    priority: int | None = None
    engine: EngineModel | None = None
    tried_servers: list[str] = field(factory=list)
    unreachable_count: int = 0
    possibly_executed_by: set[str] = field(factory=set)
    refusal_count: int = 0
    prioritised: bool = True
    is_caller_retry: bool = False
    waited: bool = False
    urgency: int | None = None
    first_event_seconds: float | None = None
    first_event_at: dict[str, float] = field(factory=dict)
    known_rounds: dict[str, dict[str, int]] = field(factory=dict)
    rounds_met: list[dict[str, int]] = field(factory=list)
    weights_version: int = 0
    weights_expire_in: float | None = None
    delivered: DeliveryProgress = field(factory=DeliveryProgress)

    def answering_for(self, server: str, now: float) -> float | None:
        """Return the seconds since a server's first event; None before it."""
        first_event_at = self.first_event_at.get(server)
        return None if first_event_at is None else now - first_event_at

    @property
    def sent_count(self) -> int:
        """Number of servers that it was sent to, including the present one."""
        return len(self.tried_servers) - self.unreachable_count

    @property
    def outcome_uncertain(self) -> bool:
        """Whether a server may have run it without reporting the outcome."""
        return len(self.possibly_executed_by) > 0

    @property
    def may_use_another_server(self) -> bool:
        """Whether another server may be tried in addition to those that have it."""
        return self.route.idempotent and self.sent_count < self.route.max_attempts
