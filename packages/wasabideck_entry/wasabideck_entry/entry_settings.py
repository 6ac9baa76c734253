"""Settings of an entry, with the checks that need to know its parts."""

from __future__ import annotations

from wasabideck_base.settings import EntrySettings
from wasabideck_base.settings_checks import Wrong
from wasabideck_base.settings_file import load_settings
from wasabideck_policy.routing import POLICIES

__all__ = ["load_entry_settings"]


def load_entry_settings(path: str) -> EntrySettings:
    """Settings from a TOML file; raises ``SettingsError`` on any wrong value."""
    return load_settings(path, EntrySettings, (_known_routing,))


def _known_routing(cfg: EntrySettings) -> Wrong | None:
    if cfg.routing not in POLICIES:
        return Wrong(("routing",), f"must be one of {', '.join(sorted(POLICIES))}")
    return None
