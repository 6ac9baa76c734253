"""Straight lines through measured sizes, and what they give at the target."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import asdict, frozen

__all__ = ["Slope", "fit"]


@frozen
class Slope:
    """A least-squares line through measured points.

    Attributes
    ----------
    per_unit : float
        Growth per unit of size.
    base : float
        Value at size 0.
    worst_residual : float
        Largest distance of a point from the line, as a share of the largest value.
    """

    quantity: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    per_unit: float
    base: float
    worst_residual: float

    def at(self, size: float) -> float:
        """Value of the line at a size."""
        return self.base + self.per_unit * size

    def shown(self, target: float) -> dict:
        """The line as a dict, with its value at the target size."""
        return asdict(self) | {"target": target, "at_target": self.at(target)}


def fit(
    quantity: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> Slope:
    """Line through at least four sizes; raises ValueError on fewer."""
    if len(sizes) < 4:
        raise ValueError(f"{quantity}: {len(sizes)} sizes, four needed")
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = list(zip(sizes, values, strict=True))
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    base = mean_y - per_unit * mean_x
    largest = max(abs(y) for y in values) or 1.0
    worst = max(abs(y - base - per_unit * x) for x, y in pairs) / largest
    return Slope(quantity, unit, tuple(sizes), tuple(values), per_unit, base, worst)
