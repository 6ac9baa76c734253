"""Rollout waves: when each server stops to load newer weights.

Servers receive a version's chunks at nearly the same time. If they all stopped at
once, no request could start for two seconds, and the backlog of those seconds would
also delay the requests after them. So some servers stop first, while the others serve.
"""

from __future__ import annotations

from collections.abc import Collection

from .rendezvous import rank_vms

__all__ = ["DRAIN_SECONDS", "rollout_delay"]

# Time for which a stopping server continues its running requests. Streams that last
# longer continue at other servers: waiting for the longest one would keep all other
# slots of the server idle.
DRAIN_SECONDS = 0.8
# Time until a report that a server serves again has reached all processes.
REPORT_DELAY_SECONDS = 0.2
MAX_WAVES = 4


def rollout_delay(
    vm: str, version: int, vms: Collection[str], load_seconds: float, spare: float
) -> float:
    """Return the seconds that a server waits before it stops to load a version.

    The server has all chunks of the version already.

    Parameters
    ----------
    vms : collection of str
        VMs of all servers that load the version, including ``vm``.
    load_seconds : float
        Time that an engine takes to load weights.
    spare : float
        Seconds for which requests may still start on the server's present weights.
    """
    wave_seconds = DRAIN_SECONDS + load_seconds + REPORT_DELAY_SECONDS
    waves = 1 + int(max(0.0, spare) / wave_seconds)
    waves = min(waves, MAX_WAVES, max(len(vms), 1))
    position = rank_vms(str(version), vms).index(vm)
    return wave_seconds * (position * waves // len(vms))
