"""The installed commands as real processes, with certificates and signals."""

import asyncio
import sys
from pathlib import Path

import orjson
from attrs import asdict
from wasabideck_lab.lab_fleet import OPERATOR_TOKEN, LabFleet
from wasabideck_lab.playground import run_playground
from wasabideck_lab.toml_writer import to_toml

SERVICES = [{"name": "orders", "kind": "plain", "repeatable": False}]


async def run_operator_command(*args):
    """Run an operator's command; return its exit code and output."""
    child = await asyncio.create_subprocess_exec(
        str(Path(sys.executable).with_name("wasabideck")),
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await child.communicate()
    return child.returncode, out, err


async def serving_servers(access):
    """Return the serving servers that an entry knows, once there is one."""
    while True:
        code, out, err = await run_operator_command(
            "status", "--access", access, "--json"
        )
        assert code == 0, err
        if found := [s for s in orjson.loads(out) if s["serving"]]:
            return found


def test_a_fleet_with_tls_serves_and_shuts_down_gracefully_on_two_signals(
    tmp_path, fleet_authority
):
    # During a rollout SIGTERM is sent again to a VM that is slow to shut down. The
    # second signal arrived during or after the graceful shutdown and killed the
    # process, so that the shutdown was reported as a crash.
    keys = fleet_authority.issue("vm")
    access = tmp_path / "access.toml"

    async def body():
        lab = LabFleet(tmp_path, tls=asdict(keys))
        await lab.start_platform()
        try:
            entry = await lab.start_entry("entry-1", SERVICES)
            await lab.start_plain_service_vm("order-1", "orders")
            cfg = {
                "entry": f"https://{entry.http_address}",
                "token": OPERATOR_TOKEN,
                "authority": keys.authority,
            }
            access.write_text(to_toml(cfg))
            found = await asyncio.wait_for(serving_servers(str(access)), 30)
            for process in lab.processes.values():
                process.subprocess.terminate()
                process.subprocess.terminate()
        finally:
            codes = await lab.close()
        return found, codes

    found, codes = asyncio.run(body())
    assert [server["vm"] for server in found] == ["order-1"]
    assert codes == {"entry-1": 0, "order-1": 0}


async def vms_in_effect(access):
    """Return the VMs on which ticket 1 is in effect, once there are two."""
    while True:
        code, out, _ = await run_operator_command(
            "ticket", "status", "1", *access, "--json"
        )
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
        done = [await run_operator_command("ticket", "submit", first, *access)]
        vms = await vms_in_effect(access)
        done += [
            await run_operator_command("report", "--ticket", "1", *access),
            await run_operator_command("ticket", "submit", second, *access),
            await run_operator_command("timeline", "--picture", page, *files),
        ]
        stop.set()
        await fleet
        return vms, done, Path(page).read_text()

    vms, done, page = asyncio.run(asyncio.wait_for(body(), 60))
    assert vms == ["draft-1", "draft-2"]
    assert [(code, err) for code, _, err in done] == [(0, b"")] * 4
    assert done[1][1].count(b"drafter v1") == 2
    assert "ticket.accepted" in page
