"""Validators of single settings; each raises ``InvalidValue``."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from urllib.parse import urlsplit

import attrs

__all__ = [
    "InvalidValue",
    "is_address",
    "at_least",
    "choice",
    "is_name",
    "is_names",
    "is_present",
    "is_seconds",
    "is_secret",
    "is_url",
]

Validator = Callable[[object, attrs.Attribute, object], None]

MAX_SECONDS = 86_400.0
MAX_NUMBER = 2**40
MIN_SECRET_LENGTH = 8
MAX_PORT = 65_535
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


class InvalidValue(ValueError):
    """The value of an attribute is invalid."""

    def __init__(self, attribute: str, why: str):
        super().__init__(why)
        self.attribute = attribute


def is_name(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Require a name, which may be part of row keys, paths and metrics."""
    if not NAME_PATTERN.fullmatch(value):
        why = "must be 1 to 100 letters, digits, '.', '_' or '-'"
        raise InvalidValue(attribute.name, why)


def is_names(instance: object, attribute: attrs.Attribute, value: list[str]) -> None:
    """Require a list of distinct names."""
    for name in value:
        is_name(instance, attribute, name)
    if len(set(value)) < len(value):
        raise InvalidValue(attribute.name, "must not contain a name twice")


def is_present(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Require a non-empty string."""
    if not value:
        raise InvalidValue(attribute.name, "must not be empty")


def is_secret(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Require a token that is valid in an HTTP header."""
    if len(value) < MIN_SECRET_LENGTH or not value.isascii() or not value.isprintable():
        why = f"must be {MIN_SECRET_LENGTH} or more printable ASCII characters"
        raise InvalidValue(attribute.name, why)
    if " " in value:
        raise InvalidValue(attribute.name, "must not contain a space")


def is_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Require an address of the form ``HOST:PORT``."""
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise InvalidValue(attribute.name, "must be HOST:PORT")


def is_url(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Require the base URL of an HTTP service without user, query or fragment."""
    try:
        parts = urlsplit(value)
        known = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        known = False
    if not known or parts.username or parts.query or parts.fragment:
        raise InvalidValue(attribute.name, "must be http://HOST:PORT or https://...")


def is_seconds(instance: object, attribute: attrs.Attribute, value: float) -> None:
    """Require a duration greater than 0 and at most a day."""
    if math.isnan(value) or not 0 < value <= MAX_SECONDS:
        raise InvalidValue(
            attribute.name, f"must be over 0 and at most {MAX_SECONDS:.0f}"
        )


def at_least(minimum: int) -> Validator:
    """Return a validator that requires a number of at least ``minimum``."""

    def check(instance: object, attribute: attrs.Attribute, value: float) -> None:
        if not minimum <= value <= MAX_NUMBER:
            raise InvalidValue(attribute.name, f"must be {minimum} or more")

    return check


def choice(known: Sequence[str]) -> Validator:
    """Return a validator that requires one of the given strings."""

    def check(instance: object, attribute: attrs.Attribute, value: str) -> None:
        if value not in known:
            raise InvalidValue(attribute.name, f"must be one of {', '.join(known)}")

    return check
