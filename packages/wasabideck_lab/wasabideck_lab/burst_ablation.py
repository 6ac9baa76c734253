"""What each mechanism is worth under the modelled loads: one switched off at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from statistics import mean

from attrs import evolve, frozen
from wasabideck_policy import placement
from wasabideck_policy.fresh_share import FreshShare
from wasabideck_policy.late_lane import LateLane

from .burst_command import LOADS
from .burst_model import BurstModel, Kind, play
from .burst_policies import Product
from .engine_model import EngineCosts

__all__ = ["ablation"]

# How a load's parts count: all of it, and its two worst windows.
WHOLE_PART, WORST_PART = 0.4, 0.6
FORMER_LOOK_SECONDS = 0.25
NEVER = float("inf")


@frozen
class Switch:
    """One mechanism, and how the model is played without it.

    Attributes
    ----------
    owner, name, value : object, str, object
        The attribute that is replaced, and by what; an empty name for none.
    load : callable
        The load without it.
    """

    owner: object = None
    name: str = ""
    value: object = None
    load: Callable[[BurstModel], BurstModel] = lambda load: load


def _always(*args: object) -> bool:
    return True


def _at_once(load: BurstModel) -> BurstModel:
    phases = [evolve(p, swaps=(0.0,) * len(p.swaps)) for p in load.phases]
    return evolve(load, phases=phases)


SWITCHES: Mapping[str, Switch] = {
    "nothing": Switch(),
    "draws: all compared": Switch(placement, "DRAWN", 99),
    "draws: one": Switch(placement, "DRAWN", 1),
    "fading of what was told": Switch(placement, "FADING_SECONDS", 1e6),
    "herd": Switch(placement, "HERD_PART", 0.0),
    "own region first": Switch(placement, "FAR_PART", 0.0),
    "unread prompts": Switch(placement, "UNREAD_WEIGHT", 0.0),
    "not ahead of two slots": Switch(placement, "EAGER_PART", 9.0),
    "limit of queues": Switch(placement, "FULL_PART", 9.0),
    "sent ahead (all are)": Switch(FreshShare, "draw", _always),
    "late ones in turn": Switch(LateLane, "has_room", _always),
    "news ten times a second": Switch(
        load=lambda load: evolve(load, look_seconds=FORMER_LOOK_SECONDS)
    ),
    "streams leave a swap": Switch(load=lambda load: evolve(load, drain_seconds=NEVER)),
    "waves": Switch(load=_at_once),
}

# Briefs, notes and replies of a printing desk: shorter goals, faster engines.
_PRINTING_KINDS = (
    Kind(40.0, 2.4, 0.61, 0.406, 1290, 126),
    Kind(28.8, 2.1, 0.52, 0.406, 787, 126),
    Kind(31.0, 1.4, 0.35, 0.305, 607, 72),
)
_PRINTING_COSTS = EngineCosts(step=0.0074, read_rate=31_900.0, stride=6)


def ablation(seeds: int = 6, desk: str = "invoicing") -> None:
    """Switch one mechanism off at a time; what is left of the worth, load by load.

    Parameters
    ----------
    seeds : int
        Plays of each load.
    desk : str
        Whose drafts: ``invoicing`` or ``printing``.
    """
    print(f"{'without':<26}{'all':>7}", *(f"{name:>15}" for name in LOADS))
    for name, switch in SWITCHES.items():
        with _off(switch):
            rows = [_earned(switch.load(_of(desk, load)), seeds) for load in LOADS]
        both = mean(WHOLE_PART * row[0] + WORST_PART * row[1] for row in rows)
        cells = (f"{earned:>9.3f} {worst:.3f}" for earned, worst in rows)
        print(f"{name:<26}{both:>7.3f}", *cells, flush=True)


def _of(desk: str, load: str) -> BurstModel:
    if desk == "invoicing":
        return LOADS[load]
    return evolve(
        LOADS[load],
        kinds=_PRINTING_KINDS,
        costs=_PRINTING_COSTS,
        pause_goal=0.3,
        patience=2.4,
    )


@contextmanager
def _off(switch: Switch) -> Iterator[None]:
    if not switch.name:
        yield
        return
    before = getattr(switch.owner, switch.name)
    setattr(switch.owner, switch.name, switch.value)
    try:
        yield
    finally:
        setattr(switch.owner, switch.name, before)


def _earned(load: BurstModel, seeds: int) -> tuple[float, float]:
    plays = [play(load, Product, seed) for seed in range(seeds)]
    return mean(p.earned for p in plays), mean(p.worst for p in plays)
