"""The operators' HTTP interface: tickets, their status, the report, the fleet."""

from __future__ import annotations

import time
import tomllib
from collections.abc import Awaitable, Callable

import orjson
from attrs import asdict, define
from sanic import HTTPResponse, Request, Sanic
from wasabideck_base.events import Events
from wasabideck_base.spread import Spread
from wasabideck_base.table import Table
from wasabideck_base.ticket_store import (
    Accepted,
    accept_ticket,
    assignments_of,
    list_tickets,
    settle_ticket,
)
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import MAX_TICKET_BYTES, TicketError, parse_ticket

from .fleet import Fleet
from .pushes import Pusher
from .report import ReportFilter

__all__ = ["Operators", "TicketUnheard", "add_operator_routes"]


class TicketUnheard(WasabideckError):
    """Certain: no ticket of this number is accepted, or will be unless sent again."""

    status = 404

    def __init__(self, number: int):
        super().__init__(f"no ticket {number} is accepted")
        self.number = number


@define
class Operators:
    """What the operators' routes need."""

    table: Table
    spread: Spread
    fleet: Fleet
    pusher: Pusher
    events: Events

    async def submit(self, body: bytes, source: str, operator: str) -> dict:
        """Accept a ticket, take it in here, and push it on."""
        if len(body) > MAX_TICKET_BYTES:
            raise TicketError(source, "ticket", len(body), "too many bytes")
        try:
            table = tomllib.loads(body.decode())
        except ValueError as exc:
            raise TicketError(source, "ticket", "...", f"no TOML: {exc}") from exc
        ticket = parse_ticket(table, source)
        accepted = await accept_ticket(self.table, ticket, operator, time.time())
        self.events.emit("ticket.accepted", ticket=ticket.number, operator=operator)
        changes = assignments_of(accepted)
        self.spread.merge(changes)
        await self.pusher.hand_on(changes)
        return _shown(accepted)

    async def show(self, number: int) -> dict:
        """An accepted ticket; its absence is made certain first."""
        accepted = await settle_ticket(self.table, number)
        if accepted is None:
            raise TicketUnheard(number)
        return _shown(accepted)

    async def status(self, number: int) -> dict:
        """Whether a ticket is accepted, and where it is in force."""
        shown = await self.show(number)
        rows = await self.report(f"{number:020d}/")
        shown["in_force"] = sorted(row["vm"] for row in rows if row["in_force"])
        return shown

    async def list(self) -> list[dict]:
        """All accepted tickets, by number."""
        return [_shown(accepted) for accepted in await list_tickets(self.table)]

    async def report(self, prefix: str = "") -> list[dict]:
        """Delivery rows whose key has a prefix."""
        return [row for _, row in await self.table.scan("deliveries", prefix)]

    def fleet_status(self) -> list[dict]:
        """What this entry knows of every server."""
        return [asdict(server) for server in self.fleet.servers.values()]


def add_operator_routes(app: Sanic, operators: Operators) -> None:
    """Serve the operators' routes; the listener has checked who asks."""

    def route(method: str, path: str, answer: Callable[..., Awaitable]) -> None:
        async def handler(req: Request, **args: object) -> HTTPResponse:
            value = await answer(req, req.ctx.who, **args)
            return HTTPResponse(orjson.dumps(value), content_type="application/json")

        app.add_route(handler, path, methods=[method], name=answer.__name__)

    async def submit(req: Request, operator: str) -> dict:
        source = req.headers.get("x-source", "ticket")
        return await operators.submit(req.body, source, operator)

    async def show(req: Request, operator: str, number: int) -> dict:
        return await operators.show(number)

    async def status(req: Request, operator: str, number: int) -> dict:
        return await operators.status(number)

    async def list_all(req: Request, operator: str) -> list[dict]:
        return await operators.list()

    async def report(req: Request, operator: str) -> list[dict]:
        wanted = ReportFilter.from_query(dict(req.query_args))
        return wanted.keep(await operators.report(wanted.prefix))

    async def fleet(req: Request, operator: str) -> list[dict]:
        return operators.fleet_status()

    route("POST", "/v1/tickets", submit)
    route("GET", "/v1/tickets", list_all)
    route("GET", "/v1/tickets/<number:int>", show)
    route("GET", "/v1/tickets/<number:int>/status", status)
    route("GET", "/v1/report", report)
    route("GET", "/v1/fleet", fleet)


def _shown(accepted: Accepted) -> dict:
    row = asdict(accepted.ticket)
    row["sequence"] = accepted.sequence
    row["again"] = accepted.again
    return row
