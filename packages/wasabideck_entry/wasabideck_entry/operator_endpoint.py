"""The operators' HTTP interface: tickets, their status, deliveries and servers."""

from __future__ import annotations

import time
import tomllib
from collections.abc import Awaitable, Callable

import orjson
from attrs import asdict, define
from sanic import HTTPResponse, Request, Sanic
from wasabideck_base.events import Events
from wasabideck_base.table import Table
from wasabideck_base.ticket_replication import TicketReplication
from wasabideck_base.ticket_store import (
    AcceptedTicket,
    accept_ticket,
    assignments_from_ticket,
    list_tickets,
    resolve_acceptance,
)
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import MAX_TICKET_BYTES, TicketError, parse_ticket

from .change_pusher import ChangePusher
from .fleet import Fleet
from .report_filter import ReportFilter

__all__ = ["OperatorEndpoint", "TicketUnheard", "add_operator_routes"]


class TicketUnheard(WasabideckError):
    """No ticket of this number is accepted, or will be unless it is submitted again."""

    status = 404

    def __init__(self, number: int):
        super().__init__(f"ticket {number} is not accepted")
        self.number = number


@define
class OperatorEndpoint:
    """Components that the operators' routes use."""

    table: Table
    ticket_replication: TicketReplication
    fleet: Fleet
    pusher: ChangePusher
    events: Events

    async def submit(self, body: bytes, source: str, operator: str) -> dict:
        """Accept a ticket, apply it in this entry, and push it to other processes."""
        if len(body) > MAX_TICKET_BYTES:
            raise TicketError(source, "ticket", len(body), "too many bytes")
        try:
            table = tomllib.loads(body.decode())
        except ValueError as exc:
            raise TicketError(
                source, "ticket", "...", f"not valid TOML: {exc}"
            ) from exc
        ticket = parse_ticket(table, source)
        accepted = await accept_ticket(self.table, ticket, operator, time.time())
        self.events.emit("ticket.accepted", ticket=ticket.number, operator=operator)
        changes = assignments_from_ticket(accepted)
        self.ticket_replication.merge(changes)
        await self.pusher.push_until_received(changes)
        return _ticket_object(accepted)

    async def get_ticket(self, number: int) -> dict:
        """Return an accepted ticket; raise ``TicketUnheard`` if it certainly is not."""
        accepted = await resolve_acceptance(self.table, number)
        if accepted is None:
            raise TicketUnheard(number)
        return _ticket_object(accepted)

    async def get_ticket_status(self, number: int) -> dict:
        """Return an accepted ticket with the VMs on which it is in effect."""
        ticket = await self.get_ticket(number)
        rows = await self.list_deliveries(f"{number:020d}/")
        ticket["in_force"] = sorted(row["vm"] for row in rows if row["in_force"])
        return ticket

    async def list_tickets(self) -> list[dict]:
        """Return all accepted tickets, sorted by number."""
        return [_ticket_object(accepted) for accepted in await list_tickets(self.table)]

    async def list_deliveries(self, prefix: str = "") -> list[dict]:
        """Return the delivery rows whose key has a prefix."""
        return [row for _, row in await self.table.scan("deliveries", prefix)]

    def list_servers(self) -> list[dict]:
        """Return the state of every server that this entry uses."""
        return [asdict(server) for server in self.fleet.servers.values()]


def add_operator_routes(app: Sanic, endpoint: OperatorEndpoint) -> None:
    """Add the operators' routes; the HTTP server authenticates their requests."""

    def route(method: str, path: str, handle: Callable[..., Awaitable]) -> None:
        async def handler(req: Request, **args: object) -> HTTPResponse:
            value = await handle(req, req.ctx.principal, **args)
            return HTTPResponse(orjson.dumps(value), content_type="application/json")

        app.add_route(handler, path, methods=[method], name=handle.__name__)

    async def submit(req: Request, operator: str) -> dict:
        source = req.headers.get("x-source", "ticket")
        return await endpoint.submit(req.body, source, operator)

    async def show(req: Request, operator: str, number: int) -> dict:
        return await endpoint.get_ticket(number)

    async def status(req: Request, operator: str, number: int) -> dict:
        return await endpoint.get_ticket_status(number)

    async def list_all(req: Request, operator: str) -> list[dict]:
        return await endpoint.list_tickets()

    async def report(req: Request, operator: str) -> list[dict]:
        report_filter = ReportFilter.from_query(dict(req.query_args))
        return report_filter.matching_rows(
            await endpoint.list_deliveries(report_filter.key_prefix)
        )

    async def fleet(req: Request, operator: str) -> list[dict]:
        return endpoint.list_servers()

    route("POST", "/v1/tickets", submit)
    route("GET", "/v1/tickets", list_all)
    route("GET", "/v1/tickets/<number:int>", show)
    route("GET", "/v1/tickets/<number:int>/status", status)
    route("GET", "/v1/report", report)
    route("GET", "/v1/fleet", fleet)


def _ticket_object(accepted: AcceptedTicket) -> dict:
    row = asdict(accepted.ticket)
    row["sequence"] = accepted.sequence
    row["again"] = accepted.already_accepted
    return row
