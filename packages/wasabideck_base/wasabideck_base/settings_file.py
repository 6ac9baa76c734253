"""Reads settings from TOML; a wrong one is named by file, key and value."""

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

from .settings_checks import CHECKS, Wrong
from .settings_values import WrongValue

__all__ = ["SettingsError", "load_settings"]

T = TypeVar("T")
MOST_BYTES = 1 << 20
HIDDEN = "..."
SECRET_KEYS = frozenset({"token", "key"})


class SettingsError(WasabideckError):
    """A setting is wrong; names the file, the key and the value.

    Attributes
    ----------
    value : object
        What stands in the file; secrets are replaced by ``...``.
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
    checks: tuple[Callable[[T], Wrong | None], ...] = (),
) -> T:
    """Settings of the given class from a TOML file.

    Raises
    ------
    SettingsError
        Names the file, the key and the value that is wrong.
    """
    file = str(path)
    table = _read(file)
    settings = _structure(table, cls, file)
    for check in (*CHECKS.get(cls, ()), *checks):
        if wrong := check(settings):
            value = _shown(_value(table, list(wrong.path)), wrong.path)
            raise SettingsError(file, _dotted(wrong.path), value, wrong.why)
    return settings


def _read(file: str) -> dict:
    try:
        with Path(file).open("rb") as stream:
            data = stream.read(MOST_BYTES + 1)
        if len(data) > MOST_BYTES:
            raise SettingsError(file, "", "", f"has more than {MOST_BYTES} bytes")
        return tomllib.loads(data.decode())
    except OSError as exc:
        raise SettingsError(file, "", "", f"cannot be read: {exc.strerror}") from None
    except (ValueError, RecursionError) as exc:
        raise SettingsError(file, "", "", f"is no TOML: {exc}") from None


def _structure(table: Mapping, cls: type[T], file: str) -> T:
    try:
        return _converter().structure(table, cls)
    except BaseValidationError as exc:
        # cattrs' errors hold the table with its secrets: they are not chained, so
        # that no traceback shows them.
        raise _first_error(exc, file, table) from None


def _converter() -> Converter:
    """A converter that takes TOML's own types only, and no key that is unknown."""
    converter = Converter(forbid_extra_keys=True)
    for exact in _WORDS:
        converter.register_structure_hook(exact, _exactly)
    factories = (
        (attrs.has, dict, "table", make_dict_structure_fn),
        (_made_of(list), list, "list", list_structure_factory),
        (_made_of(dict), dict, "table", mapping_structure_factory),
    )
    for predicate, kind, word, factory in factories:
        hook = partial(_guarded, kind, word, factory)
        converter.register_structure_hook_factory(predicate, hook)
    return converter


def _exactly(value: object, cls: type) -> object:
    allowed = (int, float) if cls is float else (cls,)
    if type(value) not in allowed:
        raise TypeError(f"must be a {_WORDS[cls]}")
    return value


_WORDS = {str: "string", int: "whole number", float: "number", bool: "true or false"}


def _made_of(kind: type) -> Callable[[object], bool]:
    return lambda cls: getattr(cls, "__origin__", None) is kind


def _guarded(
    kind: type, word: str, factory: Callable, cls: type, converter: Converter
) -> Callable:
    """A hook that refuses values of another kind before cattrs takes them apart.

    cattrs iterates over whatever it is given, so that a text passes for a list.
    """
    extra = {"_cattrs_forbid_extra_keys": True} if attrs.has(cls) else {}
    structure = factory(cls, converter, **extra)

    def hook(value: object, _: type) -> object:
        if type(value) is not kind:
            raise TypeError(f"must be a {word}")
        return structure(value, cls)

    return hook


def _first_error(exc: BaseException, file: str, table: object) -> SettingsError:
    """The first leaf of cattrs' tree of errors, as file, key and value."""
    path: list[str | int] = []
    while isinstance(exc, ExceptionGroup):
        exc = exc.exceptions[0]
        for note in getattr(exc, "__notes__", ()):
            place = getattr(note, "name", None)
            path.append(note.index if place is None else place)
    why = str(exc)
    if isinstance(exc, ForbiddenExtraKeysError):
        path.append(min(exc.extra_fields))
        return SettingsError(file, _dotted(path), HIDDEN, "unknown key")
    if isinstance(exc, KeyError):
        why = "missing key"
    elif isinstance(exc, WrongValue):
        path.append(exc.attribute)
    elif named := re.match(r"'(\w+)' ", why):
        # attrs' own validators name the attribute in their text only.
        path.append(named[1])
    return SettingsError(file, _dotted(path), _shown(_value(table, path), path), why)


def _dotted(path: Iterable[str | int]) -> str:
    return ".".join(map(str, path))


def _value(table: object, path: Iterable[str | int]) -> object:
    for place in path:
        try:
            table = table[place]  # type: ignore[index]
        except (KeyError, IndexError, TypeError):
            return None
    return table


def _shown(value: object, path: Sequence[str | int] = ()) -> object:
    """A value without the secrets in it, also where a whole table is wrong."""
    if value is not None and path and path[-1] in SECRET_KEYS:
        return HIDDEN
    if isinstance(value, dict):
        return {name: _shown(inner, (name,)) for name, inner in value.items()}
    if isinstance(value, list):
        return [_shown(inner) for inner in value]
    if isinstance(value, str):
        return re.sub(r"//[^/@]*@", f"//{HIDDEN}@", value)
    return value
