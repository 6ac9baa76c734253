"""Fault scenarios about tickets, orders to engines and membership."""

from __future__ import annotations

__all__: list[str] = []
