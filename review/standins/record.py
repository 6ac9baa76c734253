"""The record of a run: what was sent, answered and run, one line each."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Writes lines to ``record.txt`` in a case's folder; times since the start."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def since(self, at: float) -> float:
        """Return a time on the monotonic clock as seconds since the start."""
        return round(at - self.started_at, 3)

    def write(self, what: str, at: float | None = None, **fields: object) -> None:
        """Write one line."""
        seconds = self.since(time.monotonic() if at is None else at)
        print(f"{seconds:8.3f} {what} {json.dumps(fields)}", file=self.file, flush=True)
