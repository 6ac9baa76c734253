"""Conversion of sets of chunk indices to bitmaps of the inner protocol."""

from __future__ import annotations

__all__ = ["from_bitmap", "to_bitmap"]


def to_bitmap(mask: int) -> bytes:
    """Return the bytes of a set of indices, in which bit i stands for index i."""
    return mask.to_bytes((mask.bit_length() + 7) // 8, "little")


def from_bitmap(bitmap: bytes) -> int:
    """Return the set of indices whose bits are set, as an integer."""
    return int.from_bytes(bitmap, "little")
