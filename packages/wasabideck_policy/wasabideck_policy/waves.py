"""When a server stops for newer weights: some first, the others while those serve.

Servers get a version's chunks at nearly the same time. Were they all to stop at once,
for two seconds nothing would begin, and the backlog of those seconds would make what
comes after them late as well.
"""

from __future__ import annotations

from collections.abc import Collection

from .rendezvous import rank

__all__ = ["DRAIN_SECONDS", "wave_delay"]

# A server that stops works so long on what it has; streams that last longer then go on
# at other servers, as the longest would keep all its other places idle (seconds).
DRAIN_SECONDS = 0.8
# Word of a server that is back takes so long to be everywhere (seconds).
WORD_SECONDS = 0.2
MOST_WAVES = 4


def wave_delay(
    vm: str, version: int, vms: Collection[str], load_seconds: float, spare: float
) -> float:
    """Seconds that a server with a whole version waits before it stops to load it.

    Parameters
    ----------
    vms : collection of str
        VMs of all servers that load the version, ``vm`` among them.
    load_seconds : float
        How long an engine takes to load weights.
    spare : float
        Seconds for which its present weights may still be begun.
    """
    wave_seconds = DRAIN_SECONDS + load_seconds + WORD_SECONDS
    waves = 1 + int(max(0.0, spare) / wave_seconds)
    waves = min(waves, MOST_WAVES, max(len(vms), 1))
    place = rank(str(version), vms).index(vm)
    return wave_seconds * (place * waves // len(vms))
