"""Command line of the entry process and of the operators."""

from __future__ import annotations

import sys

import fire
from wasabideck_platform.process import run_process
from wasabideck_platform.settings import EntrySettings, load_settings
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.routing import POLICIES

from .entry import serve_entry
from .operator_client import OperatorClient
from .show import show_report, show_rows
from .timeline import show_timeline

__all__ = ["main"]


def _known_routing(cfg: EntrySettings) -> tuple[str, object, str] | None:
    if cfg.routing not in POLICIES:
        return "routing", cfg.routing, f"one of {sorted(POLICIES)} needed"
    return None


def _settings(path: str) -> EntrySettings:
    return load_settings(path, EntrySettings, (_known_routing,))


class _Tickets:
    """Tickets: submit, show, list and status."""

    def submit(self, file: str, entry: str, token: str, json: bool = False) -> None:
        """Submit a ticket from a TOML file; safe to repeat.

        Parameters
        ----------
        file : str
            The ticket.
        entry : str
            Base address of any entry, such as http://127.0.0.1:8080.
        token : str
            The operator's token.
        json : bool
            Print JSON.
        """
        show_rows([OperatorClient(entry, token).submit(file)], json)

    def show(self, number: int, entry: str, token: str, json: bool = False) -> None:
        """Show an accepted ticket."""
        show_rows([OperatorClient(entry, token).get(f"/v1/tickets/{number}")], json)

    def status(self, number: int, entry: str, token: str, json: bool = False) -> None:
        """Show whether a ticket is accepted, and where it is in force."""
        path = f"/v1/tickets/{number}/status"
        show_rows([OperatorClient(entry, token).get(path)], json)

    def list(self, entry: str, token: str, json: bool = False) -> None:
        """List the accepted tickets."""
        show_rows(OperatorClient(entry, token).get("/v1/tickets"), json)


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
        cfg = _settings(settings)
        run_process(lambda stop: serve_entry(cfg, stop))

    def check_settings(self, settings: str) -> None:
        """Check a TOML file of settings, and do nothing else.

        Parameters
        ----------
        settings : str
            TOML file of settings.
        """
        _settings(settings)
        print(f"{settings}: in order")

    def report(self, entry: str, token: str, json: bool = False) -> None:
        """Report who got which weights, when, and from where."""
        show_report(OperatorClient(entry, token).get("/v1/report"), json)

    def status(self, entry: str, token: str, json: bool = False) -> None:
        """Show what an entry knows of every server."""
        show_rows(OperatorClient(entry, token).get("/v1/fleet"), json)

    def timeline(self, *files: str, json: bool = False) -> None:
        """Merge the processes' event files into one order of cause and effect.

        Parameters
        ----------
        files : str
            Event files.
        json : bool
            Print JSON lines.
        """
        show_timeline(files, json)


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(_Commands(), name="wasabideck")
    except WasabideckError as exc:
        sys.exit(f"wasabideck: {type(exc).__name__}: {exc}")


if __name__ == "__main__":
    main()
