"""Settings of an entry, with the checks that depend on its routing policies."""

from __future__ import annotations

from wasabideck_base.settings import EntrySettings
from wasabideck_base.settings_checks import InvalidCombination
from wasabideck_base.settings_file import load_settings
from wasabideck_policy.load_balancing import POLICIES

__all__ = ["load_entry_settings"]


def load_entry_settings(path: str) -> EntrySettings:
    """Return an entry's settings from a TOML file.

    Raises
    ------
    SettingsError
        The file cannot be read, or a value is invalid.
    """
    return load_settings(path, EntrySettings, (_check_routing,))


def _check_routing(cfg: EntrySettings) -> InvalidCombination | None:
    if cfg.routing not in POLICIES:
        return InvalidCombination(
            ("routing",), f"must be one of {', '.join(sorted(POLICIES))}"
        )
    return None
