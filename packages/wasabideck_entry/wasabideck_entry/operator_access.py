"""The entry's address and the credential that an operator's command uses."""

from __future__ import annotations

import os
from collections.abc import Mapping

from attrs import evolve
from wasabideck_base.command_line import CommandError
from wasabideck_base.settings import AccessSettings
from wasabideck_base.settings_checks import COMBINATION_CHECKS
from wasabideck_base.settings_file import load_settings
from wasabideck_base.settings_validators import InvalidValue

from .operator_client import OperatorClient

__all__ = ["operator_client"]

ACCESS_VARIABLE = "WASABIDECK_ACCESS"


def operator_client(
    access: str, entry: str, environ: Mapping[str, str] = os.environ
) -> OperatorClient:
    """Return a client with the settings of an access file.

    ``entry`` replaces the address in the file. The credential is read from the file
    and never an argument: every user of the operator's machine can see the arguments
    of a process.

    Raises
    ------
    CommandError
        No access file is given, or ``entry`` is not a valid address.
    SettingsError
        The access file is invalid.
    """
    path = access or environ.get(ACCESS_VARIABLE, "")
    if not path:
        raise CommandError(
            f"no access file: use --access FILE or set {ACCESS_VARIABLE}"
        )
    cfg = load_settings(path, AccessSettings)
    return OperatorClient(_with_entry(cfg, entry) if entry else cfg)


def _with_entry(cfg: AccessSettings, entry: str) -> AccessSettings:
    """Return settings with another address, checked like the address in the file."""
    try:
        changed = evolve(cfg, entry=entry)
    except InvalidValue as exc:
        raise CommandError(f"entry = {entry!r}: {exc}") from None
    for check in COMBINATION_CHECKS[AccessSettings]:
        if wrong := check(changed):
            raise CommandError(f"entry = {entry!r}: {wrong.why}")
    return changed
