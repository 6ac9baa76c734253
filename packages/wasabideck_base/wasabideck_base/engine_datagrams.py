"""Engine reports as UDP datagrams from agents to entries; a lost one does no harm."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError
from wasabideck_policy.engine_report import EngineReport
from wasabideck_wire import inner_pb2 as pb

from .addresses import split_address

__all__ = ["EngineReportListener", "EngineReportSender"]


class EngineReportListener(asyncio.DatagramProtocol):
    """Receives engine reports from agents; counts and ignores malformed datagrams."""

    def __init__(self, on_report: Callable[[EngineReport], None]):
        self._on_report = on_report
        self.malformed_count = 0

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Decode one datagram and pass it on."""
        message = pb.EngineNews()
        try:
            message.ParseFromString(data)
        except DecodeError:
            self.malformed_count += 1
            return
        self._on_report(
            EngineReport(
                address=message.address,
                version=message.version,
                serving=message.serving,
                running=message.running,
                waiting=message.waiting,
                ready_in=message.ready_in_ms / 1000,
                newest_version=message.named,
                slowdown=message.pace_percent / 100 or 1.0,
            )
        )


class EngineReportSender(asyncio.DatagramProtocol):
    """Sends engine reports to entries."""

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def send(self, report: EngineReport, addresses: Iterable[str]) -> None:
        """Send a report to each address; what cannot be sent is lost."""
        if self._transport is None:
            return
        data = pb.EngineNews(
            address=report.address,
            version=report.version,
            serving=report.serving,
            running=report.running,
            waiting=report.waiting,
            ready_in_ms=int(report.ready_in * 1000),
            named=report.newest_version,
            pace_percent=int(report.slowdown * 100),
        ).SerializeToString()
        for address in addresses:
            self._transport.sendto(data, split_address(address))
