"""Life cycle of a claim: the exclusive right to run a call that must not be repeated.

A claim is inserted just before the call runs. It does not expire and is never taken
from its holder, so a holder that was paused and resumes cannot run the call at the
same time as another. Only the attempt that holds the claim ends it: as done, with the
stored response, or as released when it is certain that nothing ran.
"""

from __future__ import annotations

from attrs import evolve, field, frozen

__all__ = [
    "DONE",
    "RELEASED",
    "RUNNING",
    "Claim",
    "Decision",
    "claim_key",
    "next_row",
    "decide",
    "as_released",
]

RUNNING = "running"
DONE = "done"
RELEASED = "released"


@frozen
class Claim:
    """One row of the platform's table.

    Attributes
    ----------
    attempt : str
        The attempt that holds the claim.
    answer : str
        Stored response of a finished run, base64.
    address, incarnation : str
        Address of the holder, and identifier of its process.
    barred : list of str
        Attempts that may never take the claim, since their entries abandoned them.
    draw : int
        Number of writes of the row so far. It distinguishes a late write from the one
        that it repeats.
    """

    organisation: str
    key: str
    body_digest: str
    attempt: str
    vm: str
    state: str = RUNNING
    answer: str = ""
    address: str = ""
    incarnation: str = ""
    barred: list[str] = field(factory=list)
    draw: int = 0


@frozen
class Decision:
    """What to do with an attempt, given the claim found in the table.

    Attributes
    ----------
    action : str
        ``run``, ``retake``, ``replay``, ``ask-holder``, ``refuse`` or ``give-up``.
    """

    action: str
    claim: Claim


def claim_key(organisation: str, key: str) -> str:
    """Return the row key of a claim.

    It starts with the length of the organisation's name: callers choose their own
    keys, and without the length, ``a/b`` with ``c`` and ``a`` with ``b/c`` would have
    the same row key.
    """
    return f"{len(organisation)}:{organisation}/{key}"


def as_released(claim: Claim) -> Claim:
    """Return the claim as released by its own attempt: nothing ran under it."""
    return evolve(claim, state=RELEASED, answer="")


def next_row(found: Claim | None, row: Claim) -> Claim:
    """Return the row that replaces the one found, with its barred attempts."""
    if found is None:
        return evolve(row, draw=1)
    barred = [*found.barred, *(name for name in row.barred if name not in found.barred)]
    return evolve(row, draw=found.draw + 1, barred=barred)


def decide(wanted: Claim, found: Claim) -> Decision:
    """Compare the requested claim with the one in the table."""
    if wanted.attempt in found.barred and found.state != DONE:
        return Decision("give-up", found)
    if found.state == RELEASED:
        return Decision("retake", found)
    if found.body_digest != wanted.body_digest:
        return Decision("refuse", found)
    if found.state == DONE:
        return Decision("replay", found)
    # The response to the insert may have been lost after it took effect. A running
    # claim of the same attempt is therefore our own, and nobody else can hold it.
    if found.attempt == wanted.attempt:
        return Decision("run", found)
    return Decision("ask-holder", found)
