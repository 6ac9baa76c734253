"""How an operator's command reaches an entry: address and credential."""

from __future__ import annotations

import os
from collections.abc import Mapping

from attrs import evolve
from wasabideck_base.command_line import CommandError
from wasabideck_base.settings import AccessSettings
from wasabideck_base.settings_checks import CHECKS
from wasabideck_base.settings_file import load_settings
from wasabideck_base.settings_values import WrongValue

from .operator_client import OperatorClient

__all__ = ["operator_client"]

ACCESS = "WASABIDECK_ACCESS"


def operator_client(
    access: str, entry: str, environ: Mapping[str, str] = os.environ
) -> OperatorClient:
    """Client under an access file; ``entry`` replaces the address in it.

    The credential is in a file, never an argument: a process's arguments are
    shown to every user of the operator's machine.

    Raises
    ------
    CommandError
        No access file is named, or the other address is wrong.
    SettingsError
        The access file is wrong.
    """
    path = access or environ.get(ACCESS, "")
    if not path:
        raise CommandError(f"no access file: give --access FILE or set {ACCESS}")
    cfg = load_settings(path, AccessSettings)
    return OperatorClient(_at(cfg, entry) if entry else cfg)


def _at(cfg: AccessSettings, entry: str) -> AccessSettings:
    """Settings with another address, which is checked as the file's own is."""
    try:
        moved = evolve(cfg, entry=entry)
    except WrongValue as exc:
        raise CommandError(f"entry = {entry!r}: {exc}") from None
    for check in CHECKS[AccessSettings]:
        if wrong := check(moved):
            raise CommandError(f"entry = {entry!r}: {wrong.why}")
    return moved
