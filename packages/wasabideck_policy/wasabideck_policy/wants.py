"""What one server is to hold: its model with all adapters, and its standby."""

from __future__ import annotations

from attrs import frozen

from .tickets import ADAPTER_PREFIX, Assignment, Change, TicketState, desired

__all__ = ["MODEL", "STANDBY", "Wanted", "wanted_of"]

MODEL = "model"
STANDBY = "standby"


@frozen
class Wanted:
    """All that a server is to serve at once, and the newest ticket that says so.

    A model and its adapters are ordered together, under one fencing number, so that
    no request ever meets the one of the former ticket and the other of the new one.

    Attributes
    ----------
    ticket : int
        Newest ticket that names the model or any adapter, a removed one too.
    change : Change
        The model's.
    parts : tuple of Assignment
        The model and the adapters, as their own tickets name them.
    """

    ticket: int
    change: Change
    parts: tuple[Assignment, ...] = ()

    @property
    def adapters(self) -> dict[str, str]:
        """Manifest of each adapter, by its name."""
        return {
            part.change.slot.removeprefix(ADAPTER_PREFIX): part.change.manifest
            for part in self.parts
            if part.change.slot != MODEL
        }

    def keeps(self, fence: int) -> bool:
        """Whether what a former ticket ordered may be served until the swap."""
        newer = (part for part in self.parts if part.ticket > fence)
        return all(part.change.cutover == "keep" for part in newer)


def wanted_of(state: TicketState, service: str, vm: str) -> Wanted | None:
    """What a VM's server is to serve; None while no ticket names its model."""
    model = desired(state, service, vm, MODEL)
    if model is None:
        return None
    slots = sorted(_adapter_slots(state, service, vm))
    adapters = [desired(state, service, vm, slot) for slot in slots]
    ticket = max(part.ticket for part in (model, *adapters))
    held = (part for part in adapters if part.change.manifest)
    return Wanted(ticket, model.change, (model, *held))


def _adapter_slots(state: TicketState, service: str, vm: str) -> set[str]:
    slots = {*state.slots(service), *state.slots(f"{service}/{vm}")}
    return {slot for slot in slots if slot.startswith(ADAPTER_PREFIX)}
