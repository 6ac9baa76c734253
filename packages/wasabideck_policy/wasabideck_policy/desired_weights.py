"""The desired weights of one server: its model with all adapters, and its standby."""

from __future__ import annotations

from attrs import frozen

from .tickets import ADAPTER_PREFIX, Assignment, Change, TicketState, desired_assignment

__all__ = ["MODEL", "STANDBY", "DesiredWeights", "desired_weights"]

MODEL = "model"
STANDBY = "standby"


@frozen
class DesiredWeights:
    """The weights that a server is to serve together, and the newest of their tickets.

    A model and its adapters are ordered together, with one fencing token, so that no
    request is served with the model of one ticket and an adapter of another.

    Attributes
    ----------
    ticket : int
        Newest ticket that changes the model or any adapter, including removed ones.
    change : Change
        The change of the model.
    assignments : tuple of Assignment
        The model and the adapters, as declared by their own tickets.
    """

    ticket: int
    change: Change
    assignments: tuple[Assignment, ...] = ()

    @property
    def adapters(self) -> dict[str, str]:
        """Return the manifest of each adapter, by its name."""
        return {
            part.change.slot.removeprefix(ADAPTER_PREFIX): part.change.manifest
            for part in self.assignments
            if part.change.slot != MODEL
        }

    def may_serve_former(self, fence: int) -> bool:
        """Whether weights of an earlier ticket may be served until the swap.

        ``fence`` is the fencing token of their order.
        """
        newer = (part for part in self.assignments if part.ticket > fence)
        return all(part.change.cutover == "keep" for part in newer)


def desired_weights(state: TicketState, service: str, vm: str) -> DesiredWeights | None:
    """Return what a VM's server is to serve; None while no ticket sets its model."""
    model = desired_assignment(state, service, vm, MODEL)
    if model is None:
        return None
    slots = sorted(_adapter_slots(state, service, vm))
    adapters = [desired_assignment(state, service, vm, slot) for slot in slots]
    ticket = max(part.ticket for part in (model, *adapters))
    present = (part for part in adapters if part.change.manifest)
    return DesiredWeights(ticket, model.change, (model, *present))


def _adapter_slots(state: TicketState, service: str, vm: str) -> set[str]:
    slots = {*state.slots(service), *state.slots(f"{service}/{vm}")}
    return {slot for slot in slots if slot.startswith(ADAPTER_PREFIX)}
