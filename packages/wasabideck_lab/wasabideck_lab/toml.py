"""Writes settings as TOML; the standard library only reads it."""

from __future__ import annotations

import json

__all__ = ["to_toml"]


def to_toml(table: dict) -> str:
    """TOML of a table of values, tables and lists of tables."""
    return "\n".join(_lines(table, "")) + "\n"


def _lines(table: dict, path: str) -> list[str]:
    lines = [f"{k} = {_value(v)}" for k, v in table.items() if not _is_table(v)]
    for name, value in table.items():
        place = f"{path}.{name}" if path else name
        if isinstance(value, dict):
            lines += ["", f"[{place}]", *_lines(value, place)]
        elif _is_table(value):
            for row in value:
                lines += ["", f"[[{place}]]", *_lines(row, place)]
    return lines


def _is_table(value: object) -> bool:
    rows = isinstance(value, list) and value and isinstance(value[0], dict)
    return isinstance(value, dict) or bool(rows)


def _value(value: object) -> str:
    # JSON's strings, numbers, booleans and arrays of them are TOML's as well.
    return json.dumps(value)
