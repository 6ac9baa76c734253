"""Sets of chunk indices as bitmaps, for the inner protocol."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["from_bitmap", "to_bitmap"]


def to_bitmap(indices: Iterable[int]) -> bytes:
    """Bitmap in which bit i is set for each index i."""
    number = 0
    for index in indices:
        number |= 1 << index
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def from_bitmap(bitmap: bytes) -> set[int]:
    """Indices whose bits are set."""
    number = int.from_bytes(bitmap, "little")
    return {i for i in range(number.bit_length()) if number >> i & 1}
