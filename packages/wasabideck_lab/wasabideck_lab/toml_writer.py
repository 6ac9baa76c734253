"""TOML writer for settings; the standard library only has a TOML reader."""

from __future__ import annotations

import json

__all__ = ["to_toml"]


def to_toml(table: dict) -> str:
    """Return a table of values, tables and lists of tables as TOML."""
    return "\n".join(_format_table(table, "")) + "\n"


def _format_table(table: dict, parent_path: str) -> list[str]:
    lines = [f"{k} = {_format_value(v)}" for k, v in table.items() if not _is_table(v)]
    for name, value in table.items():
        header = f"{parent_path}.{name}" if parent_path else name
        if isinstance(value, dict):
            lines += ["", f"[{header}]", *_format_table(value, header)]
        elif _is_table(value):
            for row in value:
                lines += ["", f"[[{header}]]", *_format_table(row, header)]
    return lines


def _is_table(value: object) -> bool:
    rows = isinstance(value, list) and value and isinstance(value[0], dict)
    return isinstance(value, dict) or bool(rows)


def _format_value(value: object) -> str:
    # Strings, numbers, booleans and arrays of them have the same syntax as in JSON.
    return json.dumps(value)
