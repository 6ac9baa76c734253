"""How an operator's command reaches an entry: address and credential."""

from __future__ import annotations

import os
from collections.abc import Mapping

from attrs import evolve
from wasabideck_platform.command_line import CommandError
from wasabideck_platform.settings import AccessSettings, load_settings

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
        No access file is named.
    SettingsError
        The access file is wrong.
    """
    path = access or environ.get(ACCESS, "")
    if not path:
        raise CommandError(f"no access file: give --access FILE or set {ACCESS}")
    cfg = load_settings(path, AccessSettings)
    if entry:
        cfg = evolve(cfg, entry=entry)
    return OperatorClient(cfg)
