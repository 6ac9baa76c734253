"""Reads settings from TOML; errors contain the file, the key and the value."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import TypeVar

import attrs
from cattrs import BaseValidationError, Converter, ForbiddenExtraKeysError
from cattrs.cols import list_structure_factory, mapping_structure_factory
from cattrs.gen import make_dict_structure_fn
from wasabideck_policy.outcomes import WasabideckError

from .settings_checks import COMBINATION_CHECKS, InvalidCombination
from .settings_validators import InvalidValue

__all__ = ["SettingsError", "load_settings"]

T = TypeVar("T")
MAX_FILE_BYTES = 1 << 20
REDACTED = "..."
SECRET_KEYS = frozenset({"token", "key"})


class SettingsError(WasabideckError):
    """A setting is invalid; the message contains the file, the key and the value.

    Attributes
    ----------
    value : object
        Value in the file, with secrets replaced by ``...``.
    """

    def __init__(self, file: str, key: str, value: object, why: str):
        place = f"{file}: {key} = {value!r}" if key else file
        super().__init__(f"{place}: {why}")
        self.file = file
        self.key = key
        self.value = value


def load_settings(
    path: str | Path,
    cls: type[T],
    checks: tuple[Callable[[T], InvalidCombination | None], ...] = (),
) -> T:
    """Return settings of class ``cls`` from a TOML file.

    Raises
    ------
    SettingsError
        A setting is invalid; contains the file, the key and the value.
    """
    file = str(path)
    table = _read(file)
    settings = _structure(table, cls, file)
    for check in (*COMBINATION_CHECKS.get(cls, ()), *checks):
        if invalid := check(settings):
            value = _redact(_value_at(table, list(invalid.path)), invalid.path)
            raise SettingsError(file, _dotted_path(invalid.path), value, invalid.why)
    return settings


def _read(file: str) -> dict:
    try:
        with Path(file).open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError(file, "", "", f"is larger than {MAX_FILE_BYTES} bytes")
        return tomllib.loads(data.decode())
    except OSError as exc:
        raise SettingsError(file, "", "", f"cannot be read: {exc.strerror}") from None
    except (ValueError, RecursionError) as exc:
        raise SettingsError(file, "", "", f"is not valid TOML: {exc}") from None


def _structure(table: Mapping, cls: type[T], file: str) -> T:
    try:
        return _converter().structure(table, cls)
    except BaseValidationError as exc:
        # The errors of cattrs contain the table with its secrets. They are not chained,
        # so that no traceback shows the secrets.
        raise _first_error(exc, file, table) from None


def _converter() -> Converter:
    """Return a converter that accepts only exact TOML types and known keys."""
    converter = Converter(forbid_extra_keys=True)
    for toml_type in _TYPE_NAMES:
        converter.register_structure_hook(toml_type, _structure_exact)
    factories = (
        (attrs.has, dict, "table", make_dict_structure_fn),
        (_has_origin(list), list, "list", list_structure_factory),
        (_has_origin(dict), dict, "table", mapping_structure_factory),
    )
    for predicate, kind, type_name, factory in factories:
        hook = partial(_type_checked_hook, kind, type_name, factory)
        converter.register_structure_hook_factory(predicate, hook)
    return converter


def _structure_exact(value: object, cls: type) -> object:
    allowed = (int, float) if cls is float else (cls,)
    if type(value) not in allowed:
        raise TypeError(f"must be a {_TYPE_NAMES[cls]}")
    return value


_TYPE_NAMES = {
    str: "string",
    int: "whole number",
    float: "number",
    bool: "true or false",
}


def _has_origin(kind: type) -> Callable[[object], bool]:
    return lambda cls: getattr(cls, "__origin__", None) is kind


def _type_checked_hook(
    kind: type, type_name: str, factory: Callable, cls: type, converter: Converter
) -> Callable:
    """Return a hook that rejects values of the wrong type before cattrs iterates them.

    cattrs iterates over any iterable, so it would accept a string as a list.
    """
    extra = {"_cattrs_forbid_extra_keys": True} if attrs.has(cls) else {}
    structure = factory(cls, converter, **extra)

    def hook(value: object, _: type) -> object:
        if type(value) is not kind:
            raise TypeError(f"must be a {type_name}")
        return structure(value, cls)

    return hook


def _first_error(exc: BaseException, file: str, table: object) -> SettingsError:
    """Convert the first leaf of a cattrs error tree to a ``SettingsError``."""
    path: list[str | int] = []
    while isinstance(exc, ExceptionGroup):
        exc = exc.exceptions[0]
        for note in getattr(exc, "__notes__", ()):
            place = getattr(note, "name", None)
            path.append(note.index if place is None else place)
    why = str(exc)
    if isinstance(exc, ForbiddenExtraKeysError):
        path.append(min(exc.extra_fields))
        return SettingsError(file, _dotted_path(path), REDACTED, "unknown key")
    if isinstance(exc, KeyError):
        why = "missing key"
    elif isinstance(exc, InvalidValue):
        path.append(exc.attribute)
    elif match := re.match(r"'(\w+)' ", why):
        # The validators of attrs contain the attribute's name only in their message.
        path.append(match[1])
    return SettingsError(
        file, _dotted_path(path), _redact(_value_at(table, path), path), why
    )


def _dotted_path(path: Iterable[str | int]) -> str:
    return ".".join(map(str, path))


def _value_at(table: object, path: Iterable[str | int]) -> object:
    for place in path:
        try:
            table = table[place]  # type: ignore[index]
        except (KeyError, IndexError, TypeError):
            return None
    return table


def _redact(value: object, path: Sequence[str | int] = ()) -> object:
    """Return a value with its secrets removed, also if it is a whole table."""
    if value is not None and path and path[-1] in SECRET_KEYS:
        return REDACTED
    if isinstance(value, dict):
        return {name: _redact(inner, (name,)) for name, inner in value.items()}
    if isinstance(value, list):
        return [_redact(inner) for inner in value]
    if isinstance(value, str):
        return re.sub(r"//[^/@]*@", f"//{REDACTED}@", value)
    return value
