"""Whether a version that a newer one has overtaken on its way is finished."""

from __future__ import annotations

__all__ = ["OVERHEAD", "finishes_older"]

# So little is left of the older version that finishing it costs next to nothing.
NEARLY_PART = 0.25
# A transfer takes so many times what its chunks need on an idle link: headers, live
# streams beside it, and waiting for chunks that others still lack. Measured with 15
# VMs in 3 regions: 6.7 to 8.4 s, half of them 7.4 s, for chunks of 5.2 s.
OVERHEAD = 1.42
# From the last chunk to half of the servers in force: what runs is finished, then it is
# loaded (seconds, measured in the same plays).
IN_FORCE_SECONDS = 1.2
# Entries send nothing to a version so long before its time is over (seconds).
MARGIN_SECONDS = 0.7


def finishes_older(
    missing_part: float, named_apart: float, transfer_seconds: float, bound: float
) -> bool:
    """Whether VMs go on with an older version before they turn to the newest.

    Either way there may be a while without a version that may be served: after the
    one in force is over until the newest is there, when the older is dropped; until
    the older is there, and after it is over until the newest is, when it is finished
    first. The shorter time is chosen.

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
    takes = transfer_seconds * OVERHEAD + IN_FORCE_SECONDS
    serves = bound - MARGIN_SECONDS
    without_if_dropped = max(0.0, named_apart + takes - serves)
    before_older = max(0.0, takes - serves)
    after_older = max(0.0, takes + takes - max(takes, named_apart + serves))
    return before_older + after_older < without_if_dropped
