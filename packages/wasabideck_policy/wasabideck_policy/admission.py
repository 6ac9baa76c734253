"""Admission at the agent, where all entries' traffic to a server meets."""

from __future__ import annotations

from attrs import define

from .outcomes import Failure, NotRun

__all__ = ["Gate", "admit"]


@define
class Gate:
    """What an agent weighs before it takes a request.

    Attributes
    ----------
    capacity : int
        Requests that the server runs at once.
    service_time : float
        Smoothed seconds that one request takes.
    """

    capacity: int
    service_time: float = 0.1
    running: int = 0
    waiting: int = 0
    open: bool = False
    leaving: bool = False


def admit(gate: Gate, deadline: float, now: float) -> NotRun | None:
    """None when the request may wait or run; else its final refusal, at once."""
    if gate.leaving:
        return NotRun(Failure("Leaving", "the server is leaving"))
    if not gate.open:
        return NotRun(Failure("NotServing", "no whole version in force"), 1.0)
    rounds = (gate.running + gate.waiting) // max(gate.capacity, 1)
    wait = rounds * gate.service_time
    if now + wait > deadline:
        return NotRun(Failure("Overloaded", f"expected wait {wait:.2f} s"), wait)
    return None
