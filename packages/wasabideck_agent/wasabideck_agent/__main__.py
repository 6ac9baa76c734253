"""Command line of the agent."""

from __future__ import annotations

from wasabideck_base.command_line import commands, run_commands
from wasabideck_base.process import run_process
from wasabideck_base.settings import AgentSettings
from wasabideck_base.settings_file import load_settings

from .serving import serve_agent

__all__ = ["main"]


@commands
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
        """Check a TOML file of an agent's settings, and do nothing else.

        Parameters
        ----------
        settings : str
            TOML file of settings.
        """
        load_settings(settings, AgentSettings)
        print(f"{settings}: in order")


def main() -> None:
    """Run the agent's command line."""
    run_commands(_Commands(), "wasabideck-agent")


if __name__ == "__main__":
    main()
