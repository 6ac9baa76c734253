"""Life cycle of a claim: the right to run a call that may not be repeated.

A claim is inserted just before the call runs. It has no expiry and is never taken
from its holder, so a holder that was paused and wakes cannot run beside another.
"""

from __future__ import annotations

from attrs import frozen

__all__ = ["Claim", "Verdict", "claim_key", "judge"]

RUNNING = "running"
DONE = "done"


@frozen
class Claim:
    """One row of the platform's table.

    Attributes
    ----------
    attempt : str
        The attempt that holds the claim.
    answer : str
        Stored answer of a run that is done, base64.
    """

    organisation: str
    key: str
    body_digest: str
    attempt: str
    vm: str
    state: str = RUNNING
    answer: str = ""


@frozen
class Verdict:
    """What to do with an attempt, given the claim that was found.

    Attributes
    ----------
    action : str
        ``run``, ``replay``, ``ask-holder`` or ``refuse``.
    """

    action: str
    claim: Claim


def claim_key(organisation: str, key: str) -> str:
    """Row key of a claim."""
    return f"{organisation}/{key}"


def judge(wanted: Claim, found: Claim) -> Verdict:
    """Compare the claim wanted with the one that stands in the table."""
    if found.body_digest != wanted.body_digest:
        return Verdict("refuse", found)
    if found.state == DONE:
        return Verdict("replay", found)
    # The insert's answer may have been lost after it took effect: a running claim
    # of this very attempt is our own, and nobody else can hold it.
    if found.attempt == wanted.attempt:
        return Verdict("run", found)
    return Verdict("ask-holder", found)
