"""Which server gets a request, and when all of them are too full."""

from __future__ import annotations

import random
from collections.abc import Sequence
from math import exp

from attrs import frozen

from .backends import Backend

__all__ = ["Demand", "Place", "choose", "pressure"]

# Servers compared for a request. Ten entries with reports some hundred ms old would
# all pick the one best; a few drawn at random keep them apart.
DRAWN = 3
# What a server told fades with this time constant, as its requests end (seconds).
FADING_SECONDS = 2.0
# A server in another region must have this part of its slots more free.
FAR_PART = 0.08
# Requests beyond its slots that a server may be given, as a part of its slots.
WAITING_PART = 0.15


@frozen
class Demand:
    """What a request asks of a server.

    Attributes
    ----------
    model : str
        The model that must be loaded; empty for plain services.
    layers : int
        Layers of the model.
    least_version : int
        Version of the weights that may run it at least; 0 for any.
    """

    data_centre: str
    model: str = ""
    layers: int = 0
    least_version: int = 0


@frozen
class Place:
    """The outcome of a choice.

    Attributes
    ----------
    backend : Backend or None
        The server, or None when there is none.
    full : bool
        Whether there are servers, all of them too full.
    """

    backend: Backend | None
    full: bool = False


def pressure(backend: Backend, now: float) -> float:
    """Requests on a server as far as this process can tell."""
    age = max(0.0, now - backend.told_at)
    return backend.in_progress + backend.others * exp(-age / FADING_SECONDS)


def choose(
    backends: Sequence[Backend], demand: Demand, now: float, rng: random.Random
) -> Place:
    """The least pressed of a few servers that can run the request."""
    able = [b for b in backends if _able(b, demand)]
    if not able:
        return Place(None)
    free = [b for b in able if b.full_until <= now and _room(b, now)]
    if not free:
        return Place(None, full=True)
    drawn = rng.sample(free, min(DRAWN, len(free)))
    return Place(min(drawn, key=lambda b: _price(b, demand, now)))


def _able(backend: Backend, demand: Demand) -> bool:
    if not demand.model:
        return True
    held = backend.holds(demand.model, demand.layers)
    return held > 0 and held >= demand.least_version


def _room(backend: Backend, now: float) -> bool:
    slots = backend.listed.slots
    if not slots:
        return True
    return pressure(backend, now) < slots * (1 + WAITING_PART)


def _price(backend: Backend, demand: Demand, now: float) -> float:
    slots = max(backend.listed.slots, 1)
    price = pressure(backend, now) / slots
    if backend.listed.cold_seconds > 0:
        price += FAR_PART
    return price + (FAR_PART if backend.listed.data_centre != demand.data_centre else 0)
