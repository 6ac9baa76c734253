"""What an agent knows of the deliveries to its engine, until it has reported them."""

from __future__ import annotations

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_policy.deliveries import Delivery
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.outcomes import WasabideckError

from .deliveries_log import DeliveriesLog

__all__ = ["DeliveryBook"]


@define
class DeliveryBook:
    """Notes when weights began to come and from where, and reports them in force.

    Attributes
    ----------
    vm, service : str
        To which VM weights are delivered, and whose server's they are.
    """

    vm: str
    service: str
    log: DeliveriesLog
    events: Events
    _begun: dict[int, float] = field(factory=dict)
    _verified: dict[int, float] = field(factory=dict)
    _sources: dict[int, dict[str, int]] = field(factory=dict)
    _reported: set[tuple[int, int]] = field(factory=set)

    def begin(self, version: int, wall: float) -> bool:
        """Note that a version is fetched from a wall time on; whether it is new."""
        new = version not in self._begun
        self._begun.setdefault(version, wall)
        return new

    def verify(self, version: int, wall: float) -> None:
        """Note when all chunks of a version were held and verified."""
        self._verified.setdefault(version, wall)

    def count(self, version: int, sources: dict[str, int]) -> None:
        """Add bytes that came, by source."""
        total = self._sources.setdefault(version, {})
        for source, size in sources.items():
            total[source] = total.get(source, 0) + size

    def in_force(
        self,
        model: str,
        version: int,
        manifest: Manifest | None,
        born: int,
        wall: float,
    ) -> None:
        """Report a version in force on one start of the engine, once.

        Also one that a newer has overtaken: the report would lack it otherwise.
        """
        if (version, born) in self._reported:
            return
        self._reported.add((version, born))
        fetched = version in self._begun
        delivery = Delivery(
            vm=self.vm,
            service=self.service,
            slot="model",
            ticket=version,
            model=model,
            version=str(version),
            manifest=manifest.digest if manifest else "",
            begun=self._begun.get(version, wall),
            verified=self._verified.get(version, 0.0),
            in_force=wall,
            sources=self._sources.get(version, {}),
        )
        if fetched:
            self.log.add(delivery)
        else:
            self.log.add_found(delivery)
        self.events.emit(
            "version.in-force",
            version=version,
            seconds=round(wall - delivery.begun, 3),
            sources=delivery.sources,
        )

    async def write(self) -> None:
        """Write what the store does not have yet; what fails is tried again later."""
        try:
            await self.log.write()
        except WasabideckError as exc:
            self.events.emit("table.unavailable", why=str(exc))
