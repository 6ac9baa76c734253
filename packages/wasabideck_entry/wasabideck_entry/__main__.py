"""Command line of the entry process and of the operators' commands."""

from __future__ import annotations

from wasabideck_base.command_line import CommandError, commands, run_commands
from wasabideck_base.process import run_process

from .entry import serve_entry
from .entry_settings import load_entry_settings
from .operator_access import operator_client
from .operator_output import (
    print_deliveries,
    print_json,
    print_servers,
    print_ticket,
    print_tickets,
)
from .picture import write_timeline_page
from .report_filter import ReportFilter, parse_time
from .timeline import print_timeline

__all__ = ["main"]


@commands
class _Tickets:
    """Submit, show and list tickets, and show their status."""

    def submit(
        self, file: str, access: str = "", entry: str = "", json: bool = False
    ) -> None:
        """Submit a ticket from a TOML file; safe to repeat.

        Parameters
        ----------
        file : str
            TOML file of the ticket.
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of an entry, instead of the one in the access file.
        json : bool
            Print JSON instead of text.
        """
        ticket = operator_client(access, entry).submit(file)
        print_json(ticket) if json else print_ticket(ticket)

    def show(
        self, number: int, access: str = "", entry: str = "", json: bool = False
    ) -> None:
        """Show an accepted ticket.

        Parameters
        ----------
        number : int
            The ticket's number.
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of an entry, instead of the one in the access file.
        json : bool
            Print JSON instead of text.
        """
        ticket = operator_client(access, entry).get(f"/v1/tickets/{number}")
        print_json(ticket) if json else print_ticket(ticket)

    def status(
        self, number: int, access: str = "", entry: str = "", json: bool = False
    ) -> None:
        """Show whether a ticket is accepted, and on which VMs it is in effect.

        Parameters
        ----------
        number : int
            The ticket's number.
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of an entry, instead of the one in the access file.
        json : bool
            Print JSON instead of text.
        """
        ticket = operator_client(access, entry).get(f"/v1/tickets/{number}/status")
        print_json(ticket) if json else print_ticket(ticket)

    def list(self, access: str = "", entry: str = "", json: bool = False) -> None:
        """List the accepted tickets.

        Parameters
        ----------
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of an entry, instead of the one in the access file.
        json : bool
            Print JSON instead of text.
        """
        tickets = operator_client(access, entry).get("/v1/tickets")
        print_json(tickets) if json else print_tickets(tickets)


@commands
class _Commands:
    """Serve requests of callers, and deploy weights to VMs by numbered tickets."""

    def __init__(self) -> None:
        self.ticket = _Tickets()

    def serve(self, settings: str) -> None:
        """Serve callers and operators until SIGTERM.

        Parameters
        ----------
        settings : str
            TOML file of settings.
        """
        cfg = load_entry_settings(settings)
        run_process(lambda stop: serve_entry(cfg, stop))

    def check_settings(self, settings: str) -> None:
        """Check a TOML file of an entry's settings without serving.

        Parameters
        ----------
        settings : str
            TOML file of settings.
        """
        load_entry_settings(settings)
        print(f"{settings}: in order")

    def report(
        self,
        ticket: int = 0,
        vm: str = "",
        manifest: str = "",
        since: str = "",
        until: str = "",
        access: str = "",
        entry: str = "",
        json: bool = False,
    ) -> None:
        """Report which weights were delivered to which VMs, when, and from where.

        Parameters
        ----------
        ticket : int
            Only deliveries of this ticket.
        vm : str
            Only deliveries to this VM.
        manifest : str
            Only deliveries of manifests whose digest starts with this text.
        since : str
            Only deliveries that were in progress after this time (ISO 8601; UTC
            unless it has an offset).
        until : str
            Only deliveries that had started by this time.
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of an entry, instead of the one in the access file.
        json : bool
            Print JSON instead of text.
        """
        report_filter = ReportFilter(
            ticket, vm, manifest, parse_time("since", since), parse_time("until", until)
        )
        client = operator_client(access, entry)
        rows = client.get("/v1/report", report_filter.to_query())
        print_json(rows) if json else print_deliveries(rows)

    def status(self, access: str = "", entry: str = "", json: bool = False) -> None:
        """Show the state of every backend server that an entry uses.

        Parameters
        ----------
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of an entry, instead of the one in the access file.
        json : bool
            Print JSON instead of text.
        """
        servers = operator_client(access, entry).get("/v1/fleet")
        print_json(servers) if json else print_servers(servers)

    def timeline(self, *files: str, picture: str = "", json: bool = False) -> None:
        """Merge the event files of several processes into one timeline in causal order.

        Parameters
        ----------
        files : str
            Event files.
        picture : str
            Write the timeline to this file instead, as an HTML page.
        json : bool
            Print JSON lines.
        """
        if not files:
            raise CommandError("at least one event file is required")
        write_timeline_page(files, picture) if picture else print_timeline(files, json)


def main() -> None:
    """Run the command line."""
    run_commands(_Commands(), "wasabideck")


if __name__ == "__main__":
    main()
