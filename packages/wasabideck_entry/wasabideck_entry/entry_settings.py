"""Settings of an entry, with the checks that need to know its parts."""

from __future__ import annotations

from wasabideck_platform.settings import EntrySettings, load_settings
from wasabideck_policy.routing import POLICIES

__all__ = ["load_entry_settings"]


def load_entry_settings(path: str) -> EntrySettings:
    """Settings from a TOML file; raises ``SettingsError`` on any wrong value."""
    return load_settings(path, EntrySettings, (_known_routing,))


def _known_routing(cfg: EntrySettings) -> tuple[str, object, str] | None:
    if cfg.routing not in POLICIES:
        return "routing", cfg.routing, f"one of {sorted(POLICIES)} needed"
    return None
