"""Command line of the agent."""

from __future__ import annotations

import sys

import fire
from wasabideck_platform.process import run_process
from wasabideck_platform.settings import AgentSettings, load_settings
from wasabideck_policy.outcomes import WasabideckError

from .agent import serve_agent

__all__ = ["main"]


class _Commands:
    """The process beside each backend server."""

    def serve(self, settings: str) -> None:
        """Serve until SIGTERM.

        Parameters
        ----------
        settings : str
            TOML file of settings.
        """
        cfg = load_settings(settings, AgentSettings)
        run_process(lambda stop: serve_agent(cfg, stop))

    def check_settings(self, settings: str) -> None:
        """Check a TOML file of settings, and do nothing else.

        Parameters
        ----------
        settings : str
            TOML file of settings.
        """
        load_settings(settings, AgentSettings)
        print(f"{settings}: in order")


def main() -> None:
    """Run the agent's command line."""
    try:
        fire.Fire(_Commands(), name="wasabideck-agent")
    except WasabideckError as exc:
        sys.exit(f"wasabideck-agent: {type(exc).__name__}: {exc}")


if __name__ == "__main__":
    main()
