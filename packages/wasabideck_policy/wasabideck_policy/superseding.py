"""Whether a version that a newer one has overtaken on its way is finished."""

from __future__ import annotations

__all__ = ["OVERHEAD", "finishes_older"]

# So little is left of the older version that finishing it costs next to nothing.
NEARLY_PART = 0.25
# A transfer takes so many times what its chunks need on an idle link: headers, live
# streams beside it, and waiting for chunks that others still lack. Measured with 15
# VMs in 3 regions: 6.6 to 8.0 s for chunks of 5.2 s.
OVERHEAD = 1.35


def finishes_older(
    missing_part: float, named_apart: float, transfer_seconds: float, bound: float
) -> bool:
    """Whether VMs go on with an older version before they turn to the newest.

    Either way there may be a while without a version that may be served: after the
    one in force is over until the newest is there, when the older is dropped; after
    the older is over until the newest is there, when it is finished first. The
    shorter of the two is chosen.

    Parameters
    ----------
    missing_part : float
        Part of the older version that this VM lacks.
    named_apart : float
        Seconds between the two versions' names.
    transfer_seconds : float
        What one version takes on a VM's link.
    bound : float
        Seconds that each version may take.
    """
    if missing_part <= NEARLY_PART:
        return True
    takes = transfer_seconds * OVERHEAD
    without_if_dropped = max(0.0, named_apart + takes - bound)
    without_if_finished = max(0.0, takes + takes - (named_apart + bound))
    return without_if_finished < without_if_dropped
