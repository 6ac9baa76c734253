"""Tracks the deliveries of weights to an agent's engine until they are reported."""

from __future__ import annotations

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_base.patient_call import PatientCall
from wasabideck_policy.delivery_row import Delivery
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.outcomes import WasabideckError

from .delivery_log import DeliveryLog

__all__ = ["DeliveryTracker"]

# Maximum wait for rows to be written; a write that takes longer goes on beside what the
# agent does next.
MAX_WAIT_SECONDS = 1.5


@define
class DeliveryTracker:
    """Records when and from where weights arrived, and reports when they take effect.

    Attributes
    ----------
    vm, service : str
        The VM that weights are delivered to, and the service of its server.
    """

    vm: str
    service: str
    log: DeliveryLog
    events: Events
    _started: dict[int, float] = field(factory=dict)
    _verified: dict[int, float] = field(factory=dict)
    _sources: dict[int, dict[str, int]] = field(factory=dict)
    _reported: set[tuple[int, int]] = field(factory=set)
    _writing: PatientCall = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the call that writes the rows."""
        self._writing = PatientCall(self._write)

    def record_start(self, version: int, wall_time: float) -> bool:
        """Record the wall time at which a version's transfer started.

        Returns
        -------
        new : bool
            Whether this is the version's first transfer.
        """
        new = version not in self._started
        self._started.setdefault(version, wall_time)
        return new

    def record_verified(self, version: int, wall_time: float) -> None:
        """Record when all chunks of a version were stored and verified."""
        self._verified.setdefault(version, wall_time)

    def add_sources(self, version: int, sources: dict[str, int]) -> None:
        """Add the bytes received, by source."""
        total = self._sources.setdefault(version, {})
        for source, size in sources.items():
            total[source] = total.get(source, 0) + size

    def record_in_effect(
        self,
        model: str,
        version: int,
        manifest: Manifest | None,
        engine_start: int,
        wall_time: float,
    ) -> None:
        """Report once per start of the engine that a version is in effect.

        A superseded version is reported, too: the report would lack it otherwise.
        """
        if (version, engine_start) in self._reported:
            return
        self._reported.add((version, engine_start))
        fetched = version in self._started
        delivery = Delivery(
            vm=self.vm,
            service=self.service,
            slot="model",
            ticket=version,
            model=model,
            version=str(version),
            manifest=manifest.digest if manifest else "",
            begun=self._started.get(version, wall_time),
            verified=self._verified.get(version, 0.0),
            in_force=wall_time,
            sources=self._sources.get(version, {}),
        )
        if fetched:
            self.log.add(delivery)
        else:
            self.log.add_if_absent(delivery)
        self.events.emit(
            "version.in-force",
            version=version,
            seconds=round(wall_time - delivery.begun, 3),
            sources=delivery.sources,
        )

    async def write(self) -> None:
        """Write rows that the store lacks; rows that fail are retried later."""
        await self._writing.wait(MAX_WAIT_SECONDS)

    async def _write(self) -> None:
        try:
            await self.log.write()
        except WasabideckError as exc:
            self.events.emit("table.unavailable", why=str(exc))
