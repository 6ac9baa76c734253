"""The installed commands as real processes, with keys and signals."""

import asyncio
import sys
from pathlib import Path

import orjson
from attrs import asdict
from wasabideck_lab.launcher import OPERATOR_TOKEN, Lab
from wasabideck_lab.playground import run_playground
from wasabideck_lab.toml import to_toml

SERVICES = [{"name": "orders", "kind": "plain", "repeatable": False}]


async def operator(*args):
    """Exit code and output of an operator's command."""
    child = await asyncio.create_subprocess_exec(
        str(Path(sys.executable).with_name("wasabideck")),
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await child.communicate()
    return child.returncode, out, err


async def servers(access):
    """The fleet as an entry knows it, once it knows that a server serves."""
    while True:
        code, out, err = await operator("status", "--access", access, "--json")
        assert code == 0, err
        if found := [s for s in orjson.loads(out) if s["serving"]]:
            return found


def test_a_fleet_with_keys_serves_and_stops_at_the_second_signal(
    tmp_path, fleet_authority
):
    # Whoever rolls the fleet sends SIGTERM again when a VM is slow to leave. The
    # second one came while the first stop was under way or already over, and killed
    # the process: a graceful stop was reported as a crash.
    keys = fleet_authority.issue("vm")
    access = tmp_path / "access.toml"

    async def body():
        lab = Lab(tmp_path, tls=asdict(keys))
        await lab.start_platform()
        try:
            entry = await lab.start_entry("entry-1", SERVICES)
            await lab.start_plain_vm("order-1", "orders")
            cfg = {
                "entry": f"https://{entry.http}",
                "token": OPERATOR_TOKEN,
                "authority": keys.authority,
            }
            access.write_text(to_toml(cfg))
            found = await asyncio.wait_for(servers(str(access)), 30)
            for process in lab.processes.values():
                process.process.terminate()
                process.process.terminate()
        finally:
            codes = await lab.close()
        return found, codes

    found, codes = asyncio.run(body())
    assert [server["vm"] for server in found] == ["order-1"]
    assert codes == {"entry-1": 0, "order-1": 0}


async def in_force(access):
    """VMs on which ticket 1 is in force, once there are two."""
    while True:
        code, out, _ = await operator("ticket", "status", "1", *access, "--json")
        if code == 0 and len(vms := orjson.loads(out)["in_force"]) == 2:
            return vms


def test_a_newcomer_follows_the_readme(tmp_path):
    folder = tmp_path / "playground"
    access = ("--access", str(folder / "access.toml"))

    async def body():
        stop = asyncio.Event()
        fleet = asyncio.create_task(run_playground(folder, stop))
        while not (folder / "ticket-2.toml").exists():
            await asyncio.wait({fleet}, timeout=0.05)
        first, second = (str(folder / f"ticket-{n}.toml") for n in (1, 2))
        page = str(tmp_path / "timeline.html")
        files = (str(folder / f"{vm}.events") for vm in ("entry-1", "draft-1"))
        done = [await operator("ticket", "submit", first, *access)]
        vms = await in_force(access)
        done += [
            await operator("report", "--ticket", "1", *access),
            await operator("ticket", "submit", second, *access),
            await operator("timeline", "--picture", page, *files),
        ]
        stop.set()
        await fleet
        return vms, done, Path(page).read_text()

    vms, done, page = asyncio.run(asyncio.wait_for(body(), 60))
    assert vms == ["draft-1", "draft-2"]
    assert [(code, err) for code, _, err in done] == [(0, b"")] * 4
    assert done[1][1].count(b"drafter v1") == 2
    assert "ticket.accepted" in page
