"""Fault scenarios about answers, claims and stops."""

from __future__ import annotations

from .faults_run import Stage, scenario

__all__: list[str] = []


@scenario("undisturbed")
async def undisturbed(stage: Stage) -> None:
    """No fault: every request is answered."""
