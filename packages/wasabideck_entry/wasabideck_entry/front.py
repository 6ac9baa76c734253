"""The callers' HTTP interface: one request in, its whole answer or a refusal out."""

from __future__ import annotations

import base64
import hashlib
import time
import uuid
from contextlib import aclosing

import orjson
from attrs import define
from sanic import HTTPResponse, Request, Sanic
from sanic.response import ResponseStream
from wasabideck_base.metrics import Metrics
from wasabideck_base.settings import EntrySettings, ServiceSettings
from wasabideck_policy.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Unknown,
    WasabideckError,
)

from .calls import Call, Caller, Ended, Part, Started
from .identity import caller_of

__all__ = ["Front", "add_caller_routes", "problem"]

PROBLEM = "application/problem+json"
LINES = "application/x-ndjson"
MOST_KEY = 200
# Of refusals that no later try can change.
STATUSES = {"KeyReused": 422, "Quarantined": 422, "ServerRefused": 502}


class BadRequest(WasabideckError):
    """A request is malformed; names the field and the value."""

    status = 400

    def __init__(self, field: str, value: object, why: str):
        super().__init__(f"request: {field} = {value!r}: {why}")
        self.field = field
        self.value = value


@define
class Front:
    """What the callers' routes need."""

    cfg: EntrySettings
    caller: Caller
    metrics: Metrics

    def service(self, name: str) -> ServiceSettings:
        """Settings of a service; raises ``BadRequest`` on an unknown one."""
        for service in self.cfg.services:
            if service.name == name:
                return service
        raise BadRequest("service", name, "no such service")

    def call_of(self, req: Request, service: str, route: str) -> Call:
        """The call that a request asks for."""
        organisation = caller_of(req.headers.get("authorization", ""), self.cfg.callers)
        known = self.service(service)
        if known.routes and route not in known.routes:
            raise BadRequest("route", route, "no such route")
        repeatable = known.repeatable or route in known.repeatable_routes
        key = req.headers.get("idempotency-key", "")
        if len(key) > MOST_KEY or (not repeatable and not key):
            why = f"1 to {MOST_KEY} characters needed"
            raise BadRequest("idempotency-key", key[:MOST_KEY], why)
        return Call(
            request=uuid.uuid4().hex,
            organisation=organisation,
            service=service,
            route=route,
            body=req.body,
            idempotency_key=key,
            body_digest=_digest(service, route, req.body),
            repeatable=repeatable,
            priority=known.priorities.get(route, known.priority),
            deadline=time.monotonic() + _seconds(req, known.deadline_seconds),
            again=_tries(req) > 1,
        )


def add_caller_routes(app: Sanic, front: Front) -> None:
    """Serve ``POST /v1/services/SERVICE/ROUTE``."""

    @app.post("/v1/services/<service:str>/<route:str>")
    async def run(req: Request, service: str, route: str) -> HTTPResponse | None:
        call = front.call_of(req, service, route)
        front.caller.events.emit(
            "request.received", request=call.request, service=service
        )
        response: ResponseStream | None = None
        outcome: Outcome | None = None
        started = Started(0, "", "")
        # Closed at once when the caller goes away, so that the work is cancelled.
        async with aclosing(front.caller.run(call)) as items:
            async for item in items:
                if isinstance(item, Ended):
                    outcome = item.outcome
                elif isinstance(item, Started):
                    started = item
                elif isinstance(item, Part):
                    if response is None:
                        response = await _begin(req, call, started)
                    await response.send(_line(_text(item.data)))
        _count(front, call, outcome)
        if response is None:
            return _whole(outcome)
        await response.send(_line(_tag(outcome)))
        await response.eof()
        return None


async def _begin(req: Request, call: Call, started: Started) -> ResponseStream:
    headers = {
        "x-wasabideck-request": call.request,
        "x-wasabideck-ticket": str(started.ticket),
        "x-wasabideck-version": started.version,
    }
    return await req.respond(headers=headers, content_type=LINES)


def _count(front: Front, call: Call, outcome: Outcome) -> None:
    kind = type(outcome).__name__
    front.metrics.requests.inc({"outcome": kind, "service": call.service})
    front.caller.events.emit("request.final", request=call.request, outcome=kind)


def _whole(outcome: Outcome) -> HTTPResponse:
    """Response of a request of which no piece was sent."""
    if isinstance(outcome, Answered):
        return HTTPResponse(_line(_tag(outcome)), 200, content_type=LINES)
    status = 503 if isinstance(outcome, NotRun) else 504
    status = STATUSES.get(outcome.failure.kind, status)
    body = _tag(outcome) | {"title": outcome.failure.kind, "status": status}
    return problem(status, body, outcome.retry_after)


def _tag(outcome: Outcome) -> dict:
    if isinstance(outcome, Answered):
        return {"outcome": "answered", "replayed": outcome.replayed}
    tag = "unknown" if isinstance(outcome, Unknown) else "not-run"
    return {
        "outcome": tag,
        "reason": outcome.failure.kind,
        "detail": outcome.failure.detail,
        "retry_after": outcome.retry_after,
    }


def problem(status: int, body: dict, retry_after: float = 0.0) -> HTTPResponse:
    """A problem+json response, with Retry-After where a later try can help."""
    headers = {"retry-after": str(max(1, round(retry_after)))} if retry_after else {}
    return HTTPResponse(orjson.dumps(body), status, headers, PROBLEM)


def _line(value: dict) -> bytes:
    return orjson.dumps(value) + b"\n"


def _digest(service: str, route: str, body: bytes) -> str:
    """Digest of all that a key stands for."""
    parts = (service.encode(), route.encode(), body)
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def _text(data: bytes) -> dict:
    """One piece as a line; bytes that are no text go as base64, unharmed."""
    try:
        return {"text": data.decode()}
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(data).decode()}


def _tries(req: Request) -> int:
    text = req.headers.get("x-try", "1")
    if not text.isdigit() or not 0 < int(text) < 1000:
        raise BadRequest("x-try", text, "how often this key was sent, from 1 on")
    return int(text)


def _seconds(req: Request, default: float) -> float:
    text = req.headers.get("x-deadline-ms")
    if text is None:
        return default
    if not text.isdigit() or not 0 < int(text) <= 3_600_000:
        raise BadRequest("x-deadline-ms", text, "milliseconds, up to an hour")
    return int(text) / 1000
