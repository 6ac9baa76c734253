"""Sample settings of two users' deployments, with real sizes and invented addresses."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from pathlib import Path

from attrs import frozen

from .toml_writer import to_toml

__all__ = ["PRINTING", "RENT", "Deployment", "sample_files", "write_samples"]

INNER_PORT = 7100
HTTP_PORT = 7180
SERVER_PORT = 8000
PLATFORM_PORTS = {"table": 9001, "members": 9002, "weights": 9003}
FIRST_AGENT_HOST_NUMBER = 20
ORGANISATION_COUNT = 10
KEY_FOLDER = "/etc/wasabideck"
# Half of 10 Mbit/s, because other traffic shares the link between regions.
REGION_RATE_BYTES_PER_SECOND = 625_000.0

# The three networks reserved for documentation, one for each region.
NETWORKS = ("192.0.2", "198.51.100", "203.0.113")
STORE_HOST_NUMBER = 5

HEADER = """\
# Sample: addresses, tokens, digests and key files are made up and have to be
# replaced. Written by `python -m wasabideck_lab write-samples FOLDER`.
"""


@frozen
class Deployment:
    """The regions, services and servers of one user.

    Attributes
    ----------
    regions : tuple of str
        The first region contains the platform's store.
    placement : dict of str to tuple of str
        Maps each service to the regions of its servers.
    profile : str
        Optimisation goal of transfers: ``time`` to N replicas or ``origin-bytes``.
    """

    name: str
    regions: tuple[str, ...]
    services: list[dict]
    placement: dict[str, tuple[str, ...]]
    profile: str


_MUSCAT, _SOHAR, _SALALAH = "muscat", "sohar", "salalah"

PRINTING = Deployment(
    "printing",
    (_MUSCAT, _SOHAR, _SALALAH),
    [
        {
            "name": "drafting",
            "kind": "model",
            "priority": 1,
            "deadline_seconds": 30.0,
            "routes": ["brief", "proof-note", "reply"],
            "priorities": {"reply": 0, "brief": 2},
        },
        {
            "name": "orders",
            "kind": "plain",
            "repeatable": False,
            "repeatable_routes": ["status"],
            "priority": 0,
            "deadline_seconds": 10.0,
            "routes": ["print", "payment", "status"],
        },
        {
            "name": "shop-floor",
            "kind": "plain",
            "priority": 1,
            "deadline_seconds": 10.0,
        },
    ],
    {
        "drafting": (_MUSCAT,) * 4 + (_SOHAR,) * 2 + (_SALALAH,) * 2,
        "orders": (_MUSCAT, _SOHAR, _SALALAH),
        "shop-floor": (_MUSCAT,),
    },
    "time",
)

_BANGKOK, _CHIANG_MAI, _KHON_KAEN = "bangkok", "chiang-mai", "khon-kaen"

RENT = Deployment(
    "rent",
    (_BANGKOK, _CHIANG_MAI, _KHON_KAEN),
    [
        {
            "name": "drafting",
            "kind": "model",
            "priority": 1,
            "deadline_seconds": 20.0,
            "routes": ["dispute", "lease-terms", "arrears", "receipt", "greeting"],
            "priorities": {"dispute": 0, "greeting": 2},
        },
        {
            "name": "ledger",
            "kind": "plain",
            "repeatable": False,
            "repeatable_routes": ["balance"],
            "priority": 0,
            "deadline_seconds": 10.0,
            "routes": ["posting", "balance"],
        },
        {"name": "portal", "kind": "plain", "priority": 1, "deadline_seconds": 10.0},
    ],
    {
        "drafting": (_BANGKOK,) * 2 + (_CHIANG_MAI,) * 2 + (_KHON_KAEN,) * 2,
        "ledger": (_BANGKOK, _CHIANG_MAI, _KHON_KAEN),
        "portal": (_BANGKOK,),
    },
    "origin-bytes",
)


def sample_files() -> dict[str, str]:
    """Return the text of each sample file by its path."""
    files = {}
    for deployment in (PRINTING, RENT):
        for name, table in _settings_tables(deployment):
            files[f"{deployment.name}/{name}.toml"] = HEADER + to_toml(table)
    return files


def write_samples(folder: Path) -> int:
    """Write all sample files below a folder, and return their number."""
    files = sample_files()
    for name, text in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return len(files)


def _settings_tables(deployment: Deployment) -> Iterator[tuple[str, dict]]:
    for index, region in enumerate(deployment.regions):
        yield f"entry-{region}", _entry_settings(deployment, index)
    next_hosts = dict.fromkeys(deployment.regions, FIRST_AGENT_HOST_NUMBER)
    for service in deployment.services:
        regions = deployment.placement[service["name"]]
        for number, region in enumerate(regions, 1):
            vm = f"{service['name']}-{number}"
            yield (
                f"agent-{vm}",
                _agent_settings(deployment, vm, service, region, next_hosts[region]),
            )
            next_hosts[region] += 1
    yield "access", _access_settings(deployment)
    yield "ticket-1", _ticket()


def _entry_settings(deployment: Deployment, index: int) -> dict:
    region = deployment.regions[index]
    return _common_settings(deployment, f"entry-{region}", region, 10) | {
        "services": deployment.services,
        "operators": [
            {"name": "operator-1", "token": f"sample-{deployment.name}-operator-1"}
        ],
        "callers": [
            {
                "organisation": f"org-{number:02d}",
                "token": f"sample-{deployment.name}-org-{number:02d}",
            }
            for number in range(1, ORGANISATION_COUNT + 1)
        ],
    }


def _agent_settings(
    deployment: Deployment, vm: str, service: dict, region: str, host: int
) -> dict:
    server = {
        "service": service["name"],
        "kind": service["kind"],
        "url": f"http://127.0.0.1:{SERVER_PORT}",
        "reports_load": service["name"] not in ("shop-floor", "portal"),
    }
    weights = {
        "profile": deployment.profile,
        "region_rate": REGION_RATE_BYTES_PER_SECOND,
        "origin_region": deployment.regions[0],
    }
    common = _common_settings(deployment, vm, region, host)
    return common | {"server": server, "weights": weights}


def _common_settings(deployment: Deployment, vm: str, region: str, host: int) -> dict:
    network = NETWORKS[deployment.regions.index(region)]
    store = f"http://{NETWORKS[0]}.{STORE_HOST_NUMBER}"
    return {
        "process": {
            "vm": vm,
            "region": region,
            "data_centre": f"{region}-1",
            "inner": f"{network}.{host}:{INNER_PORT}",
            "http": f"{network}.{host}:{HTTP_PORT}",
        },
        "platform": {name: f"{store}:{port}" for name, port in PLATFORM_PORTS.items()},
        "tls": {
            "certificate": f"{KEY_FOLDER}/{vm}.pem",
            "key": f"{KEY_FOLDER}/{vm}.key",
            "authority": f"{KEY_FOLDER}/fleet.pem",
        },
    }


def _access_settings(deployment: Deployment) -> dict:
    return {
        "entry": f"https://{NETWORKS[0]}.10:{HTTP_PORT}",
        "token": f"sample-{deployment.name}-operator-1",
        "authority": f"{KEY_FOLDER}/fleet.pem",
    }


def _ticket() -> dict:
    manifest = hashlib.sha256(b"sample manifest").hexdigest()
    change = {
        "scope": "drafting",
        "model": "drafter",
        "version": "v1",
        "manifest": manifest,
    }
    return {"number": 1, "note": "first rollout", "change": [change]}
