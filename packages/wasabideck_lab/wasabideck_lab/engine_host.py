"""Serves the engine stand-ins of many VMs in one process, on one port."""

from __future__ import annotations

import asyncio
import random
import sys

import orjson
from aiohttp import web
from attrs import asdict
from wasabideck_base.process import announce_ready, run_process
from wasabideck_policy.manifests import manifest_from_json

from .faults import FaultInjector
from .standin_servers import EngineStandin

__all__ = ["main"]

MAX_BODY_BYTES = 64 << 20


async def _serve(cfg: dict, stop: asyncio.Event) -> None:
    manifests = {
        digest: manifest_from_json(text.encode(), digest)
        for digest, text in cfg["manifests"].items()
    }
    engines = {
        vm: EngineStandin(FaultInjector(random.Random(vm)), manifests)
        for vm in cfg["vms"]
    }
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    for vm, engine in engines.items():
        vm_app = web.Application(client_max_size=MAX_BODY_BYTES)
        vm_app.add_routes(engine.routes())
        app.add_subapp(f"/{vm}", vm_app)

    async def list_engines(req: web.Request) -> web.Response:
        rows = {
            vm: {"mixed": engine.mixed_loads, "loaded": asdict(engine.loaded)}
            for vm, engine in engines.items()
        }
        return web.json_response(rows)

    app.add_routes([web.get("/books", list_engines)])
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
    host, port = runner.addresses[0]
    announce_ready(url=f"http://{host}:{port}")
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Serve the VMs and manifests given as one line of JSON on standard input."""
    cfg = orjson.loads(sys.stdin.readline())
    run_process(lambda stop: _serve(cfg, stop))


if __name__ == "__main__":
    main()
