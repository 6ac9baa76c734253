"""Sets of chunk indices as bitmaps, for the inner protocol."""

from __future__ import annotations

__all__ = ["from_bitmap", "to_bitmap"]


def to_bitmap(mask: int) -> bytes:
    """Bytes of a set of indices, an integer in which bit i stands for index i."""
    return mask.to_bytes((mask.bit_length() + 7) // 8, "little")


def from_bitmap(bitmap: bytes) -> int:
    """The set of indices whose bits are set."""
    return int.from_bytes(bitmap, "little")
