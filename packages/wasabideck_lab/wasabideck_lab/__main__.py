"""Command line of the lab: ``python -m wasabideck_lab COMMAND``."""

from __future__ import annotations

import sys

import fire

from .demo import DemoFailed, run_demo
from .faults import FAULTS

__all__ = ["main"]


class _Commands:
    """Stand-ins, load generator and experiments; not shipped."""

    def demo(self) -> None:
        """Run the main job on an embedded default and print its report."""
        try:
            code = run_demo()
        except DemoFailed as exc:
            sys.exit(f"demo: failed: {exc}")
        if code:
            sys.exit(code)

    def list_faults(self) -> None:
        """List the faults that stand-ins can be switched to."""
        for name, meaning in FAULTS.items():
            print(f"{name:<14} {meaning}")


def main() -> None:
    """Run the lab's command line."""
    fire.Fire(_Commands(), name="python -m wasabideck_lab")


if __name__ == "__main__":
    main()
