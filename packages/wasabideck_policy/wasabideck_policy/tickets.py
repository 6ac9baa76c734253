"""Tickets, and the state that they merge into.

The state maps each key to its newest change. Merging keeps the larger ticket number
per key, so it is commutative, idempotent and monotonic: stale reads, duplicates and
gossip in any order cannot revert anything.
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
    "desired_assignment",
    "ticket_digest",
    "parse_ticket",
]

SLOTS = ("model", "standby")
ADAPTER_PREFIX = "adapter:"
CUTOVERS = ("keep", "refuse")
MAX_TICKET_BYTES = 256 * 1024
MAX_CHANGES = 500
MAX_NAME_CHARACTERS = 200
HASH_MODULUS = 1 << 128
# Outdated entries that the index of sequences may hold before it is rebuilt, beside
# one per key.
MAX_EXTRA_INDEX_ENTRIES = 64


class TicketError(WasabideckError):
    """A ticket is malformed; the message contains the file, the field and the value."""

    status = 400

    def __init__(self, source: str, field: str, value: object, why: str):
        super().__init__(f"{source}: {field} = {value!r}: {why}")
        self.source = source
        self.field = field
        self.value = value


class TicketConflict(WasabideckError):
    """A ticket with the same number but other content already exists."""

    status = 409

    def __init__(self, number: int):
        super().__init__(f"ticket {number} exists already with other content")
        self.number = number


class TicketSuperseded(WasabideckError):
    """A later ticket has already changed a key that this ticket changes."""

    status = 409

    def __init__(self, number: int, key: Key, holder: int):
        super().__init__(f"ticket {number}: {key} is held by later ticket {holder}")
        self.number = number
        self.key = key
        self.holder = holder


@frozen(order=True)
class Key:
    """What a change applies to: a slot of a service, or of one VM's server.

    Attributes
    ----------
    scope : str
        ``service`` or ``service/vm``.
    slot : str
        ``model`` (weights that are served), ``standby`` (weights that are held
        completely but not served) or ``adapter:NAME``.
    """

    scope: str
    slot: str

    def __str__(self) -> str:
        return f"{self.scope}#{self.slot}"


@frozen
class Change:
    """The complete new state of one key.

    Attributes
    ----------
    manifest : str
        Digest of the weights' manifest; empty to clear the slot.
    engine_role : str
        The engine's role (``mixed``, ``prefill``, ``decode``); slot ``model`` only.
    cutover : str
        With ``keep``, a server serves the former version until the new one is
        complete; with ``refuse``, it refuses requests instead.
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
        """Return the key that the change applies to."""
        return Key(self.scope, self.slot)


@frozen
class Ticket:
    """A numbered declaration of new state, with the operator who submitted it."""

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
        Position of the ticket in the order of acceptance.
    """

    ticket: int
    change: Change
    sequence: int = 0


def change_to_json(change: Change) -> bytes:
    """Return the canonical JSON of a change."""
    return json.dumps(asdict(change), sort_keys=True).encode()


def change_from_json(data: bytes) -> Change:
    """Return the change with the given canonical JSON."""
    return Change(**json.loads(data))


def ticket_digest(ticket: Ticket) -> str:
    """Return the digest of a ticket's content, without its submitter and time."""
    content = {
        "number": ticket.number,
        "note": ticket.note,
        "changes": [asdict(change) for change in ticket.changes],
    }
    data = json.dumps(content, sort_keys=True).encode()
    return hashlib.sha256(data).hexdigest()


def parse_ticket(table: Mapping[str, object], source: str) -> Ticket:
    """Return the ticket of a parsed TOML table.

    Raises
    ------
    TicketError
        A field is missing, unknown or invalid.
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
    _refuse_duplicate_keys(changes, source)
    return Ticket(number, changes, note)


def _parse_change(row: object, source: str, location: str) -> Change:
    if not isinstance(row, dict):
        raise TicketError(source, location, row, "must be a table")
    known = {"scope", "slot", "model", "version", "manifest", "engine_role", "cutover"}
    _refuse_unknown(row, known, source, location)
    change = Change(
        scope=_text(row, "scope", source, location),
        slot=_text(row, "slot", source, location, default="model"),
        model=_text(row, "model", source, location, default=""),
        version=_text(row, "version", source, location, default=""),
        manifest=_text(row, "manifest", source, location, default=""),
        engine_role=_text(row, "engine_role", source, location, default="mixed"),
        cutover=_text(row, "cutover", source, location, default="keep"),
    )
    _check_change(change, source, location)
    return change


def _check_change(change: Change, source: str, location: str) -> None:
    if change.slot not in SLOTS and not change.slot.startswith(ADAPTER_PREFIX):
        raise TicketError(source, f"{location}.slot", change.slot, "unknown slot")
    if change.cutover not in CUTOVERS:
        raise TicketError(
            source, f"{location}.cutover", change.cutover, "unknown cutover"
        )
    if change.scope.count("/") > 1 or change.scope.strip("/") != change.scope:
        raise TicketError(
            source, f"{location}.scope", change.scope, "must be SERVICE or SERVICE/VM"
        )
    weights = (change.model, change.version, change.manifest)
    if any(weights) and not all(weights):
        why = "model, version and manifest must be given together"
        raise TicketError(source, f"{location}.manifest", change.manifest, why)


def _refuse_duplicate_keys(changes: tuple[Change, ...], source: str) -> None:
    seen: set[Key] = set()
    for index, change in enumerate(changes):
        if change.key in seen:
            location = f"change[{index}]"
            raise TicketError(source, location, str(change.key), "changed twice")
        seen.add(change.key)


def _refuse_unknown(
    table: Mapping, known: set[str], source: str, location: str
) -> None:
    for name in table:
        if name not in known:
            raise TicketError(
                source, f"{location}.{name}".lstrip("."), table[name], "unknown field"
            )


def _text(
    table: Mapping, name: str, source: str, location: str, default: str | None = None
) -> str:
    value = table.get(name, default)
    where = f"{location}.{name}".lstrip(".")
    if not isinstance(value, str):
        raise TicketError(source, where, value, "must be a string")
    if len(value) > MAX_NAME_CHARACTERS or (default is None and not value):
        raise TicketError(
            source, where, value, f"1 to {MAX_NAME_CHARACTERS} characters needed"
        )
    return value


class TicketState:
    """The newest change of each key, and the acceptance sequence it reflects.

    The cost of looking up the keys of one server, of merging one change, of the hash
    and of the changes after a sequence does not depend on the number of keys: at the
    target size there are thousands, and each process queries the state every second.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self._scopes: dict[str, dict[str, Assignment]] = {}
        self._size = 0
        self._hash_sum = 0
        # Keys by their sequence in the order of acceptance. A key that has changed
        # since keeps its outdated entries until the index is rebuilt.
        self._sequence_index: list[tuple[int, Key]] = []

    def __len__(self) -> int:
        return self._size

    def assignments(self) -> list[Assignment]:
        """Return the newest change of each key, in the order of the keys."""
        scopes = sorted(self._scopes.items())
        return [slots[slot] for _, slots in scopes for slot in sorted(slots)]

    def accepted_after(self, sequence: int) -> list[Assignment]:
        """Return the newest changes that were accepted after a sequence."""
        start = bisect_right(self._sequence_index, sequence, key=lambda row: row[0])
        found = {key: self.newest(key) for _, key in self._sequence_index[start:]}
        return [found[key] for key in sorted(found)]

    def newest(self, key: Key) -> Assignment | None:
        """Return the newest change of a key, or None."""
        return self._scopes.get(key.scope, {}).get(key.slot)

    def slots(self, scope: str) -> Iterable[str]:
        """Return the slots of a scope that any ticket has changed."""
        return self._scopes.get(scope, {}).keys()

    def merge(
        self, assignments: Iterable[Assignment], sequence: int = 0
    ) -> list[Assignment]:
        """Merge the changes that are newer than the known ones.

        Returns
        -------
        newer : list of Assignment
            The changes that were merged.
        """
        newer = []
        for assignment in assignments:
            known = self.newest(assignment.change.key)
            # A paused process or a stale read may deliver old tickets again. A
            # smaller or equal number never replaces the known one, so nothing reverts.
            if known is None or assignment.ticket > known.ticket:
                self._replace(known, assignment)
                newer.append(assignment)
        self.sequence = max(self.sequence, sequence)
        return newer

    def state_hash(self) -> str:
        """Return a hash of all keys and numbers; equal hashes mean equal states."""
        return f"{self._hash_sum:032x}"

    def _replace(self, known: Assignment | None, newer: Assignment) -> None:
        key = newer.change.key
        self._scopes.setdefault(key.scope, {})[key.slot] = newer
        self._size += known is None
        # The sum of the rows' hashes does not depend on their order, and can be
        # updated for one row without reading the others.
        self._hash_sum = (
            self._hash_sum - _row_hash(known) + _row_hash(newer)
        ) % HASH_MODULUS
        insort(self._sequence_index, (newer.sequence, key))
        if len(self._sequence_index) > 2 * self._size + MAX_EXTRA_INDEX_ENTRIES:
            held = self.assignments()
            self._sequence_index = sorted((a.sequence, a.change.key) for a in held)


def _row_hash(assignment: Assignment | None) -> int:
    if assignment is None:
        return 0
    row = f"{assignment.change.key}={assignment.ticket}"
    return xxhash.xxh3_128_intdigest(row.encode())


def desired_assignment(
    state: TicketState, service: str, vm: str, slot: str
) -> Assignment | None:
    """Return what a VM's slot is to hold.

    This is the newer of the change of its service and the change of the VM itself.
    """
    found = (
        state.newest(Key(service, slot)),
        state.newest(Key(f"{service}/{vm}", slot)),
    )
    known = [assignment for assignment in found if assignment]
    return max(known, key=lambda assignment: assignment.ticket, default=None)
