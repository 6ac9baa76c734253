"""Rows in the store by which the system's own processes discover each other."""

from __future__ import annotations

import orjson
from attrs import asdict, fields
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import WasabideckError

from .addresses import split_ip_address, split_peer_address
from .http_responses import MALFORMED_DATA
from .rows import Row, RowWrite

__all__ = [
    "MEMBERS_TABLE",
    "MalformedMember",
    "member_of",
    "member_row",
    "parse_member",
]

MEMBERS_TABLE = "wasabideck-members"


class MalformedMember(WasabideckError):
    """A row of the table of members cannot be parsed as a member."""

    def __init__(self, key: str, why: str):
        super().__init__(f"{MEMBERS_TABLE}/{key}: {why}"[:300])
        self.key = key


def member_row(member: Member) -> RowWrite:
    """Return the row that describes a process."""
    return RowWrite(MEMBERS_TABLE, member.vm, orjson.dumps(asdict(member)))


def parse_member(row: Row) -> Member:
    """Return the process that a row describes; raises ``MalformedMember``."""
    try:
        member = member_of(orjson.loads(row.value))
        if member.vm != row.key:
            raise ValueError("the row names another VM")
        split_ip_address(member.address)
    except MALFORMED_DATA as exc:
        raise MalformedMember(row.key, str(exc)) from exc
    return member


def member_of(data: dict) -> Member:
    """Return the process that a JSON object describes.

    Raises one of ``MALFORMED_DATA`` for any other value.
    """
    member = Member(**data)
    for attribute in fields(Member):
        expected = bool if attribute.name == "leaving" else str
        if type(getattr(member, attribute.name)) is not expected:
            raise TypeError(f"{attribute.name} must be of type {expected.__name__}")
    if member.kind not in (AGENT, ENTRY):
        raise ValueError(f"kind must be {AGENT} or {ENTRY}")
    split_peer_address(member.address)
    return member
