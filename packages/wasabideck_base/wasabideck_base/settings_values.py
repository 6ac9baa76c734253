"""Checks of single values of settings; each raises ``WrongValue``."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from urllib.parse import urlsplit

import attrs

__all__ = [
    "WrongValue",
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

MOST_SECONDS = 86_400.0
MOST_NUMBER = 2**40
LEAST_SECRET = 8
MOST_PORT = 65_535
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


class WrongValue(ValueError):
    """A value may not be set; names the attribute."""

    def __init__(self, attribute: str, why: str):
        super().__init__(why)
        self.attribute = attribute


def is_name(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """A name, which may be part of row keys, paths and metrics."""
    if not NAME.fullmatch(value):
        why = "must be 1 to 100 letters, digits, '.', '_' or '-'"
        raise WrongValue(attribute.name, why)


def is_names(instance: object, attribute: attrs.Attribute, value: list[str]) -> None:
    """Names, none of them twice."""
    for one in value:
        is_name(instance, attribute, one)
    if len(set(value)) < len(value):
        raise WrongValue(attribute.name, "names one thing twice")


def is_present(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Text that is not empty."""
    if not value:
        raise WrongValue(attribute.name, "must not be empty")


def is_secret(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """A token that can stand in a header."""
    if len(value) < LEAST_SECRET or not value.isascii() or not value.isprintable():
        why = f"must be {LEAST_SECRET} or more printable ASCII characters"
        raise WrongValue(attribute.name, why)
    if " " in value:
        raise WrongValue(attribute.name, "must not hold a space")


def is_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """``HOST:PORT``."""
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MOST_PORT:
        raise WrongValue(attribute.name, "must be HOST:PORT")


def is_url(instance: object, attribute: attrs.Attribute, value: str) -> None:
    """Base address of an HTTP service, without credential, query or fragment."""
    try:
        parts = urlsplit(value)
        known = parts.scheme in ("http", "https") and parts.hostname and parts.port != 0
    except ValueError:
        known = False
    if not known or parts.username or parts.query or parts.fragment:
        raise WrongValue(attribute.name, "must be http://HOST:PORT or https://...")


def is_seconds(instance: object, attribute: attrs.Attribute, value: float) -> None:
    """A time that ends: over 0, and at most a day."""
    if math.isnan(value) or not 0 < value <= MOST_SECONDS:
        raise WrongValue(attribute.name, f"must be over 0, to {MOST_SECONDS:.0f}")


def at_least(least: int) -> Validator:
    """A number that is not smaller."""

    def check(instance: object, attribute: attrs.Attribute, value: float) -> None:
        if not least <= value <= MOST_NUMBER:
            raise WrongValue(attribute.name, f"must be {least} or more")

    return check


def choice(known: Sequence[str]) -> Validator:
    """One of the known words."""

    def check(instance: object, attribute: attrs.Attribute, value: str) -> None:
        if value not in known:
            raise WrongValue(attribute.name, f"must be one of {', '.join(known)}")

    return check
