"""Command line of the entry process and of the operators."""

from __future__ import annotations

from wasabideck_base.command_line import CommandError, commands, run_commands
from wasabideck_base.process import run_process

from .access import operator_client
from .entry import serve_entry
from .entry_settings import load_entry_settings
from .picture import write_picture
from .report import ReportFilter, moment
from .show import show_fleet, show_json, show_report, show_ticket, show_tickets
from .timeline import show_timeline

__all__ = ["main"]


@commands
class _Tickets:
    """Tickets: submit, show, list and status."""

    def submit(
        self, file: str, access: str = "", entry: str = "", json: bool = False
    ) -> None:
        """Submit a ticket from a TOML file; safe to repeat.

        Parameters
        ----------
        file : str
            The ticket.
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of another entry than the access file's.
        json : bool
            Print JSON.
        """
        ticket = operator_client(access, entry).submit(file)
        show_json(ticket) if json else show_ticket(ticket)

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
            Base address of another entry than the access file's.
        json : bool
            Print JSON.
        """
        ticket = operator_client(access, entry).get(f"/v1/tickets/{number}")
        show_json(ticket) if json else show_ticket(ticket)

    def status(
        self, number: int, access: str = "", entry: str = "", json: bool = False
    ) -> None:
        """Show whether a ticket is accepted, and where it is in force.

        Parameters
        ----------
        number : int
            The ticket's number.
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of another entry than the access file's.
        json : bool
            Print JSON.
        """
        ticket = operator_client(access, entry).get(f"/v1/tickets/{number}/status")
        show_json(ticket) if json else show_ticket(ticket)

    def list(self, access: str = "", entry: str = "", json: bool = False) -> None:
        """List the accepted tickets.

        Parameters
        ----------
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of another entry than the access file's.
        json : bool
            Print JSON.
        """
        tickets = operator_client(access, entry).get("/v1/tickets")
        show_json(tickets) if json else show_tickets(tickets)


@commands
class _Commands:
    """Weights to every VM by numbered tickets, and answers to every caller."""

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
        """Check a TOML file of an entry's settings, and do nothing else.

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
        """Report who got which weights, when, and from where.

        Parameters
        ----------
        ticket : int
            Only deliveries of this ticket.
        vm : str
            Only deliveries to this VM.
        manifest : str
            Only deliveries of the manifest whose digest begins so.
        since : str
            Only deliveries that were in progress after this time (ISO 8601; UTC
            unless it names an offset).
        until : str
            Only deliveries that had begun by this time.
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of another entry than the access file's.
        json : bool
            Print JSON.
        """
        wanted = ReportFilter(
            ticket, vm, manifest, moment("since", since), moment("until", until)
        )
        client = operator_client(access, entry)
        rows = client.get("/v1/report", wanted.to_query())
        show_json(rows) if json else show_report(rows)

    def status(self, access: str = "", entry: str = "", json: bool = False) -> None:
        """Show what an entry knows of every backend server.

        Parameters
        ----------
        access : str
            TOML file with the entry's address and the operator's credential;
            WASABIDECK_ACCESS when not given.
        entry : str
            Base address of another entry than the access file's.
        json : bool
            Print JSON.
        """
        servers = operator_client(access, entry).get("/v1/fleet")
        show_json(servers) if json else show_fleet(servers)

    def timeline(self, *files: str, picture: str = "", json: bool = False) -> None:
        """Merge the processes' event files into one order of cause and effect.

        Parameters
        ----------
        files : str
            Event files.
        picture : str
            Write a page with a picture to this file instead, to open in a browser.
        json : bool
            Print JSON lines.
        """
        if not files:
            raise CommandError("name one or more event files")
        write_picture(files, picture) if picture else show_timeline(files, json)


def main() -> None:
    """Run the command line."""
    run_commands(_Commands(), "wasabideck")


if __name__ == "__main__":
    main()
