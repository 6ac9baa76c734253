"""Least-squares lines through measurements, extrapolated to a target size."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import asdict, frozen

__all__ = ["FittedLine", "fit_line"]


@frozen
class FittedLine:
    """A least-squares line through measured points.

    Attributes
    ----------
    per_unit : float
        Increase of the value per unit of size.
    base : float
        Value at size 0.
    worst_residual : float
        Maximum vertical distance of a point from the line, as a fraction of the maximum
        absolute value.
    """

    quantity: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    per_unit: float
    base: float
    worst_residual: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.per_unit * size

    def to_row(self, target: float) -> dict:
        """Return the line as a dict, with its value at the target size."""
        return asdict(self) | {"target": target, "at_target": self.value_at(target)}


def fit_line(
    quantity: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> FittedLine:
    """Fit a line to the values at four or more sizes; raise ValueError on fewer."""
    if len(sizes) < 4:
        raise ValueError(f"{quantity}: {len(sizes)} sizes; at least four are needed")
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    sum_of_squares = sum((x - mean_x) ** 2 for x in sizes)
    pairs = list(zip(sizes, values, strict=True))
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / sum_of_squares
    base = mean_y - per_unit * mean_x
    max_value = max(abs(y) for y in values) or 1.0
    worst_residual = max(abs(y - base - per_unit * x) for x, y in pairs) / max_value
    return FittedLine(
        quantity, unit, tuple(sizes), tuple(values), per_unit, base, worst_residual
    )
