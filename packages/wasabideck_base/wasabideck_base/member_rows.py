"""Rows in the store by which the system's own processes discover each other."""

from __future__ import annotations

import orjson
from attrs import asdict
from wasabideck_policy.membership import Member
from wasabideck_policy.outcomes import WasabideckError

from .rows import Row, RowWrite

__all__ = ["MEMBERS_TABLE", "MalformedMember", "parse_member", "member_row"]

MEMBERS_TABLE = "wasabideck-members"


class MalformedMember(WasabideckError):
    """A row of the table of members cannot be parsed as a member."""

    def __init__(self, key: str, why: str):
        super().__init__(f"{MEMBERS_TABLE}/{key}: {why}")
        self.key = key


def member_row(member: Member) -> RowWrite:
    """Return the row that describes a process."""
    return RowWrite(MEMBERS_TABLE, member.vm, orjson.dumps(asdict(member)))


def parse_member(row: Row) -> Member:
    """Return the process that a row describes; raises ``MalformedMember``."""
    try:
        return Member(**orjson.loads(row.value))
    except (TypeError, ValueError) as exc:
        raise MalformedMember(row.key, str(exc)) from exc
