"""Whether to finish the transfer of a version that a newer one supersedes."""

from __future__ import annotations

__all__ = ["TRANSFER_OVERHEAD_RATIO", "finish_older_first"]

# If no more than this fraction of the older version is missing, finishing it costs
# next to nothing.
ALMOST_COMPLETE_RATIO = 0.25
# Duration of a transfer relative to what its chunks need on an idle link. It includes
# headers, live streams on the same link, and waiting for chunks that others still
# lack: 15 VMs in 3 regions take 6.6 to 8.0 s for chunks that need 5.2 s.
TRANSFER_OVERHEAD_RATIO = 1.35


def finish_older_first(
    missing_ratio: float,
    declared_interval: float,
    transfer_seconds: float,
    allowed_seconds: float,
) -> bool:
    """Whether VMs finish an older version before they fetch the newest one.

    In both cases there may be a period in which no version may be served. If the
    older version is dropped, it lasts from the expiry of the version in effect until
    the newest one is there. If the older version is finished first, it lasts from the
    older one's expiry until the newest one is there. The shorter period is chosen.

    Parameters
    ----------
    missing_ratio : float
        Fraction of the older version that this VM lacks.
    declared_interval : float
        Seconds between the declarations of the two versions.
    transfer_seconds : float
        Time that the transfer of one version takes on a VM's idle link.
    allowed_seconds : float
        Seconds allowed for servers to change to a declared version.
    """
    if missing_ratio <= ALMOST_COMPLETE_RATIO:
        return True
    takes = transfer_seconds * TRANSFER_OVERHEAD_RATIO
    without_if_dropped = max(0.0, declared_interval + takes - allowed_seconds)
    without_if_finished = max(
        0.0, takes + takes - (declared_interval + allowed_seconds)
    )
    return without_if_finished < without_if_dropped
