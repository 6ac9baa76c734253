"""The callers' HTTP interface: requests, streamed responses and refusals."""

from __future__ import annotations

import base64
import hashlib
import time
import uuid
from contextlib import aclosing

import orjson
from attrs import define, field
from sanic import HTTPResponse, Request, Sanic
from sanic.response import ResponseStream
from wasabideck_base.metrics import Metrics
from wasabideck_base.settings import EntrySettings, ServiceSettings
from wasabideck_policy.outcomes import (
    Answered,
    Failure,
    NotRun,
    Outcome,
    Unknown,
    WasabideckError,
)

from .authentication import organisation_of
from .call_runner import Call, CallRunner, Completed, Started, StreamEvent
from .running_calls import EntryStopped, RunningCalls

__all__ = ["CallerEndpoint", "add_caller_routes", "problem_response"]

PROBLEM_CONTENT_TYPE = "application/problem+json"
NDJSON_CONTENT_TYPE = "application/x-ndjson"
MAX_KEY_CHARACTERS = 200
# Status of refusals that a retry cannot change.
STATUS_OF_FAILURE = {"KeyReused": 422, "Quarantined": 422, "ServerRefused": 502}


class BadRequest(WasabideckError):
    """A request is malformed; the error has the field and the value."""

    status = 400

    def __init__(self, field: str, value: object, why: str):
        super().__init__(f"request: {field} = {value!r}: {why}")
        self.field = field
        self.value = value


@define
class CallerEndpoint:
    """Settings and components that the callers' routes use."""

    cfg: EntrySettings
    caller: CallRunner
    metrics: Metrics
    running_calls: RunningCalls = field(factory=RunningCalls)

    def service(self, name: str) -> ServiceSettings:
        """Return a service's settings; raise ``BadRequest`` if it is unknown."""
        for service in self.cfg.services:
            if service.name == name:
                return service
        raise BadRequest("service", name, "unknown service")

    def build_call(self, req: Request, service: str, route: str) -> Call:
        """Return the call that an HTTP request describes."""
        organisation = organisation_of(
            req.headers.get("authorization", ""), self.cfg.callers
        )
        settings = self.service(service)
        if settings.routes and route not in settings.routes:
            raise BadRequest("route", route, "unknown route")
        repeatable = settings.repeatable or route in settings.repeatable_routes
        key = req.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARACTERS or (not repeatable and not key):
            why = f"must be 1 to {MAX_KEY_CHARACTERS} characters long"
            raise BadRequest("idempotency-key", key[:MAX_KEY_CHARACTERS], why)
        return Call(
            request_id=uuid.uuid4().hex,
            organisation=organisation,
            service=service,
            route=route,
            body=req.body,
            idempotency_key=key,
            body_digest=_request_digest(service, route, req.body),
            repeatable=repeatable,
            priority=settings.priorities.get(route, settings.priority),
            deadline=time.monotonic()
            + _timeout_seconds(req, settings.deadline_seconds),
            is_retry=_attempt_number(req) > 1,
        )


def add_caller_routes(app: Sanic, endpoint: CallerEndpoint) -> None:
    """Serve ``POST /v1/services/SERVICE/ROUTE``."""

    @app.post("/v1/services/<service:str>/<route:str>")
    async def run(req: Request, service: str, route: str) -> HTTPResponse | None:
        call = endpoint.build_call(req, service, route)
        endpoint.caller.events.emit(
            "request.received", request=call.request_id, service=service
        )
        response: ResponseStream | None = None
        outcome: Outcome | None = None
        started = Started(0, "", "")
        try:
            # Closed as soon as the caller disconnects: the attempt is cancelled then.
            async with (
                endpoint.running_calls.track(),
                aclosing(endpoint.caller.run(call)) as items,
            ):
                async for item in items:
                    if isinstance(item, Completed):
                        outcome = item.outcome
                    elif isinstance(item, Started):
                        started = item
                    elif isinstance(item, StreamEvent):
                        if response is None:
                            response = await _start_response(req, call, started)
                        await response.send(_ndjson_line(_event_object(item.data)))
        except EntryStopped as exc:
            # The attempt may have run.
            failure = Failure(type(exc).__name__, str(exc))
            outcome = outcome or Unknown(failure)
        _record_outcome(endpoint, call, outcome)
        if response is None:
            return _unstreamed_response(outcome)
        await response.send(_ndjson_line(_outcome_object(outcome)))
        await response.eof()
        return None


async def _start_response(req: Request, call: Call, started: Started) -> ResponseStream:
    headers = {
        "x-wasabideck-request": call.request_id,
        "x-wasabideck-ticket": str(started.ticket),
        "x-wasabideck-version": started.version,
    }
    return await req.respond(headers=headers, content_type=NDJSON_CONTENT_TYPE)


def _record_outcome(endpoint: CallerEndpoint, call: Call, outcome: Outcome) -> None:
    kind = type(outcome).__name__
    endpoint.metrics.requests.inc({"outcome": kind, "service": call.service})
    endpoint.caller.events.emit("request.final", request=call.request_id, outcome=kind)


def _unstreamed_response(outcome: Outcome) -> HTTPResponse:
    """Return the response to a request of which no event was sent."""
    if isinstance(outcome, Answered):
        return HTTPResponse(
            _ndjson_line(_outcome_object(outcome)),
            200,
            content_type=NDJSON_CONTENT_TYPE,
        )
    status = 503 if isinstance(outcome, NotRun) else 504
    status = STATUS_OF_FAILURE.get(outcome.failure.kind, status)
    body = _outcome_object(outcome) | {"title": outcome.failure.kind, "status": status}
    return problem_response(status, body, outcome.retry_after)


def _outcome_object(outcome: Outcome) -> dict:
    if isinstance(outcome, Answered):
        return {"outcome": "answered", "replayed": outcome.replayed}
    tag = "unknown" if isinstance(outcome, Unknown) else "not-run"
    return {
        "outcome": tag,
        "reason": outcome.failure.kind,
        "detail": outcome.failure.detail,
        "retry_after": outcome.retry_after,
    }


def problem_response(status: int, body: dict, retry_after: float = 0.0) -> HTTPResponse:
    """Return a problem+json response, with Retry-After where a retry may succeed."""
    headers = {"retry-after": str(max(1, round(retry_after)))} if retry_after else {}
    return HTTPResponse(orjson.dumps(body), status, headers, PROBLEM_CONTENT_TYPE)


def _ndjson_line(value: dict) -> bytes:
    return orjson.dumps(value) + b"\n"


def _request_digest(service: str, route: str, body: bytes) -> str:
    """Return the digest of the request that an idempotency key belongs to."""
    parts = (service.encode(), route.encode(), body)
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def _event_object(data: bytes) -> dict:
    """Return an event as a JSON object; bytes that are not UTF-8 are sent as base64."""
    try:
        return {"text": data.decode()}
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(data).decode()}


def _attempt_number(req: Request) -> int:
    text = req.headers.get("x-try", "1")
    if not text.isdigit() or not 0 < int(text) < 1000:
        raise BadRequest(
            "x-try", text, "must be the number of times this key was sent, 1 to 999"
        )
    return int(text)


def _timeout_seconds(req: Request, default: float) -> float:
    text = req.headers.get("x-deadline-ms")
    if text is None:
        return default
    if not text.isdigit() or not 0 < int(text) <= 3_600_000:
        raise BadRequest("x-deadline-ms", text, "must be milliseconds, up to an hour")
    return int(text) / 1000
