"""Life cycle of a claim: the right to run a call that may not be repeated.

A claim is inserted just before the call runs. It has no expiry and is never taken
from its holder, so a holder that was paused and wakes cannot run beside another.
Only the holding attempt ends it: as done, with its answer, or as released when it
is certain that nothing ran.
"""

from __future__ import annotations

from attrs import evolve, field, frozen

__all__ = [
    "DONE",
    "RELEASED",
    "RUNNING",
    "Claim",
    "Verdict",
    "claim_key",
    "following",
    "judge",
    "released",
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
        Stored answer of a run that is done, base64.
    address, incarnation : str
        Where the holder answers, and as which process.
    barred : list of str
        Attempts that may never take the claim: their entries gave them up.
    draw : int
        Writes of the row so far: a late one is told from the one that it repeats.
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
class Verdict:
    """What to do with an attempt, given the claim that was found.

    Attributes
    ----------
    action : str
        ``run``, ``retake``, ``replay``, ``ask-holder``, ``refuse`` or ``give-up``.
    """

    action: str
    claim: Claim


def claim_key(organisation: str, key: str) -> str:
    """Row key of a claim.

    The length goes first: a caller draws its keys itself, and with a plain joint
    ``a/b`` and ``c`` would meet the row of ``a`` and ``b/c``.
    """
    return f"{len(organisation)}:{organisation}/{key}"


def released(claim: Claim) -> Claim:
    """The claim, given back by its own attempt: nothing ran under it."""
    return evolve(claim, state=RELEASED, answer="")


def following(found: Claim | None, row: Claim) -> Claim:
    """The row to write over the one found, which it carries on."""
    if found is None:
        return evolve(row, draw=1)
    barred = [*found.barred, *(name for name in row.barred if name not in found.barred)]
    return evolve(row, draw=found.draw + 1, barred=barred)


def judge(wanted: Claim, found: Claim) -> Verdict:
    """Compare the claim wanted with the one that stands in the table."""
    if wanted.attempt in found.barred and found.state != DONE:
        return Verdict("give-up", found)
    if found.state == RELEASED:
        return Verdict("retake", found)
    if found.body_digest != wanted.body_digest:
        return Verdict("refuse", found)
    if found.state == DONE:
        return Verdict("replay", found)
    # The insert's answer may have been lost after it took effect: a running claim
    # of this very attempt is our own, and nobody else can hold it.
    if found.attempt == wanted.attempt:
        return Verdict("run", found)
    return Verdict("ask-holder", found)
