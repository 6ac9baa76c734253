"""Tickets, and the state that they merge into.

The state maps each touched thing to the newest change that names it. Merging keeps
the larger ticket number per key, so it is commutative, idempotent and monotone:
stale reads, repeats and gossip in any order cannot revert anything.
"""

from __future__ import annotations

import hashlib
import json
from bisect import bisect_right, insort
from collections.abc import Iterable, Mapping

import xxhash
from attrs import asdict, field, frozen

from .outcomes import WasabideckError

__all__ = [
    "Assignment",
    "Change",
    "Key",
    "Ticket",
    "TicketConflict",
    "TicketError",
    "TicketState",
    "TicketSuperseded",
    "change_from_json",
    "change_to_json",
    "desired",
    "digest_of",
    "parse_ticket",
]

SLOTS = ("model", "standby")
ADAPTER_PREFIX = "adapter:"
CUTOVERS = ("keep", "refuse")
MAX_TICKET_BYTES = 256 * 1024
MAX_CHANGES = 500
MAX_NAME = 200
HASH_SIZE = 1 << 128
SPARE_PLACES = 64


class TicketError(WasabideckError):
    """A ticket is malformed; names the file, the field and the value."""

    status = 400

    def __init__(self, source: str, field: str, value: object, why: str):
        super().__init__(f"{source}: {field} = {value!r}: {why}")
        self.source = source
        self.field = field
        self.value = value


class TicketConflict(WasabideckError):
    """The ticket's number is taken by a ticket of other content."""

    status = 409

    def __init__(self, number: int):
        super().__init__(f"ticket {number} exists already with other content")
        self.number = number


class TicketSuperseded(WasabideckError):
    """A later ticket already holds something that this ticket touches."""

    status = 409

    def __init__(self, number: int, key: Key, holder: int):
        super().__init__(f"ticket {number}: {key} is held by later ticket {holder}")
        self.number = number
        self.key = key
        self.holder = holder


@frozen(order=True)
class Key:
    """A touched thing: a slot of a service, or of one VM's server.

    Attributes
    ----------
    scope : str
        ``service`` or ``service/vm``.
    slot : str
        ``model`` (what is served), ``standby`` (held whole, not served) or
        ``adapter:NAME``.
    """

    scope: str
    slot: str

    def __str__(self) -> str:
        return f"{self.scope}#{self.slot}"


@frozen
class Change:
    """The whole new state of one touched thing.

    Attributes
    ----------
    manifest : str
        Digest of the weights' manifest; empty when the slot is to be emptied.
    engine_role : str
        The engine's role (``mixed``, ``prefill``, ``decode``); slot ``model`` only.
    cutover : str
        ``keep`` serves the former version until the new one is whole, ``refuse``
        refuses requests instead.
    """

    scope: str
    slot: str
    model: str = ""
    version: str = ""
    manifest: str = ""
    engine_role: str = "mixed"
    cutover: str = "keep"

    @property
    def key(self) -> Key:
        """The touched thing."""
        return Key(self.scope, self.slot)


@frozen
class Ticket:
    """A numbered declaration of new state, kept with who submitted it."""

    number: int
    changes: tuple[Change, ...]
    note: str = ""
    operator: str = field(default="", kw_only=True)
    accepted_at: float = field(default=0.0, kw_only=True)


@frozen
class Assignment:
    """A change together with the ticket that made it.

    Attributes
    ----------
    sequence : int
        Place of the ticket in the order of acceptance.
    """

    ticket: int
    change: Change
    sequence: int = 0


def change_to_json(change: Change) -> bytes:
    """Canonical JSON of a change."""
    return json.dumps(asdict(change), sort_keys=True).encode()


def change_from_json(data: bytes) -> Change:
    """Change from its canonical JSON."""
    return Change(**json.loads(data))


def digest_of(ticket: Ticket) -> str:
    """Digest of a ticket's content, without who submitted it and when."""
    content = {
        "number": ticket.number,
        "note": ticket.note,
        "changes": [asdict(change) for change in ticket.changes],
    }
    data = json.dumps(content, sort_keys=True).encode()
    return hashlib.sha256(data).hexdigest()


def parse_ticket(table: Mapping[str, object], source: str) -> Ticket:
    """Ticket from a parsed TOML table.

    Raises
    ------
    TicketError
        Names the file, the field and the value that is wrong.
    """
    _refuse_unknown(table, {"number", "note", "change"}, source, "")
    number = table.get("number")
    if type(number) is not int or not 0 < number < 2**63:
        raise TicketError(source, "number", number, "must be a positive integer")
    note = _text(table, "note", source, "", default="")
    rows = table.get("change")
    if not isinstance(rows, list) or not 0 < len(rows) <= MAX_CHANGES:
        raise TicketError(source, "change", rows, f"1 to {MAX_CHANGES} tables needed")
    changes = tuple(
        _parse_change(row, source, f"change[{index}]") for index, row in enumerate(rows)
    )
    _refuse_contradictions(changes, source)
    return Ticket(number, changes, note)


def _parse_change(row: object, source: str, place: str) -> Change:
    if not isinstance(row, dict):
        raise TicketError(source, place, row, "must be a table")
    known = {"scope", "slot", "model", "version", "manifest", "engine_role", "cutover"}
    _refuse_unknown(row, known, source, place)
    change = Change(
        scope=_text(row, "scope", source, place),
        slot=_text(row, "slot", source, place, default="model"),
        model=_text(row, "model", source, place, default=""),
        version=_text(row, "version", source, place, default=""),
        manifest=_text(row, "manifest", source, place, default=""),
        engine_role=_text(row, "engine_role", source, place, default="mixed"),
        cutover=_text(row, "cutover", source, place, default="keep"),
    )
    _check_change(change, source, place)
    return change


def _check_change(change: Change, source: str, place: str) -> None:
    if change.slot not in SLOTS and not change.slot.startswith(ADAPTER_PREFIX):
        raise TicketError(source, f"{place}.slot", change.slot, "no such slot")
    if change.cutover not in CUTOVERS:
        raise TicketError(source, f"{place}.cutover", change.cutover, "no such cutover")
    if change.scope.count("/") > 1 or change.scope.strip("/") != change.scope:
        raise TicketError(source, f"{place}.scope", change.scope, "service or s/vm")
    weights = (change.model, change.version, change.manifest)
    if any(weights) and not all(weights):
        why = "model, version and manifest go together"
        raise TicketError(source, f"{place}.manifest", change.manifest, why)


def _refuse_contradictions(changes: tuple[Change, ...], source: str) -> None:
    seen: set[Key] = set()
    for index, change in enumerate(changes):
        if change.key in seen:
            place = f"change[{index}]"
            raise TicketError(source, place, str(change.key), "touched twice")
        seen.add(change.key)


def _refuse_unknown(table: Mapping, known: set[str], source: str, place: str) -> None:
    for name in table:
        if name not in known:
            raise TicketError(source, f"{place}.{name}".lstrip("."), table[name], "?")


def _text(
    table: Mapping, name: str, source: str, place: str, default: str | None = None
) -> str:
    value = table.get(name, default)
    where = f"{place}.{name}".lstrip(".")
    if not isinstance(value, str):
        raise TicketError(source, where, value, "must be a string")
    if len(value) > MAX_NAME or (default is None and not value):
        raise TicketError(source, where, value, f"1 to {MAX_NAME} characters needed")
    return value


class TicketState:
    """Newest change per touched thing, and the acceptance sequence it reflects.

    Looking one server's things up, taking one change in, the hash and the changes
    above a place cost the same however many things are touched: at the target size
    there are thousands, and each process asks every second.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self._scopes: dict[str, dict[str, Assignment]] = {}
        self._size = 0
        self._sum = 0
        # Places in the order of acceptance; a thing changed since is passed over.
        self._places: list[tuple[int, Key]] = []

    def __len__(self) -> int:
        return self._size

    def assignments(self) -> list[Assignment]:
        """All newest changes, in the order of their keys."""
        scopes = sorted(self._scopes.items())
        return [slots[slot] for _, slots in scopes for slot in sorted(slots)]

    def above(self, sequence: int) -> list[Assignment]:
        """Newest changes that were accepted after a place in the order."""
        begin = bisect_right(self._places, sequence, key=lambda place: place[0])
        found = {key: self.newest(key) for _, key in self._places[begin:]}
        return [found[key] for key in sorted(found)]

    def newest(self, key: Key) -> Assignment | None:
        """The newest change of a touched thing, or None."""
        return self._scopes.get(key.scope, {}).get(key.slot)

    def slots(self, scope: str) -> Iterable[str]:
        """Slots of a scope that any ticket touches."""
        return self._scopes.get(scope, {}).keys()

    def merge(
        self, assignments: Iterable[Assignment], sequence: int = 0
    ) -> list[Assignment]:
        """Take in changes that are newer than the known ones.

        Returns
        -------
        newer : list of Assignment
            Those that replaced what was known.
        """
        newer = []
        for assignment in assignments:
            known = self.newest(assignment.change.key)
            # A frozen process or a stale read brings old tickets back: a smaller
            # or equal number never replaces what is known, so nothing reverts.
            if known is None or assignment.ticket > known.ticket:
                self._replace(known, assignment)
                newer.append(assignment)
        self.sequence = max(self.sequence, sequence)
        return newer

    def state_hash(self) -> str:
        """Hash of every key and number; equal hashes mean equal states."""
        return f"{self._sum:032x}"

    def _replace(self, known: Assignment | None, newer: Assignment) -> None:
        key = newer.change.key
        self._scopes.setdefault(key.scope, {})[key.slot] = newer
        self._size += known is None
        # A sum of the rows' hashes is the same in any order, and one row changes it
        # without a look at the others.
        self._sum = (self._sum - _row_hash(known) + _row_hash(newer)) % HASH_SIZE
        insort(self._places, (newer.sequence, key))
        if len(self._places) > 2 * self._size + SPARE_PLACES:
            held = self.assignments()
            self._places = sorted((a.sequence, a.change.key) for a in held)


def _row_hash(assignment: Assignment | None) -> int:
    if assignment is None:
        return 0
    row = f"{assignment.change.key}={assignment.ticket}"
    return xxhash.xxh3_128_intdigest(row.encode())


def desired(state: TicketState, service: str, vm: str, slot: str) -> Assignment | None:
    """What a VM's slot is to hold: the newer of its service's and its own change."""
    found = (
        state.newest(Key(service, slot)),
        state.newest(Key(f"{service}/{vm}", slot)),
    )
    known = [assignment for assignment in found if assignment]
    return max(known, key=lambda assignment: assignment.ticket, default=None)
