"""Certificates for tests, and an entry that runs in a test's own event loop."""

import asyncio
import contextlib
import datetime
import gc
import ipaddress
import itertools

import pytest
from attrs import define, frozen
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from wasabideck_base.settings import (
    CallerSettings,
    EntrySettings,
    OperatorSettings,
    PlatformSettings,
    ProcessSettings,
    ServiceSettings,
    TlsSettings,
)
from wasabideck_entry import entry as entry_module

# sanic registers its applications by name, so each test's entry has its own name.
ENTRY_NUMBERS = itertools.count()
DAY = datetime.timedelta(days=1)
OPERATOR = "sample-operator-token"
CALLER = "sample-caller-token"
OTHER_CALLER = "sample-other-caller-token"
# Nothing listens on port 1, so the platform is unavailable to the entry under test.
UNAVAILABLE_URL = "http://127.0.0.1:1"


@pytest.fixture(autouse=True)
def _finalize_objects_of_earlier_tests():
    """Run finalizers before each test: the HTTP server parses the source of its routes.

    See the fixture of the same name for all modules.
    """
    gc.collect()


@define
class Authority:
    """A certificate authority for tests."""

    folder: object
    name: str

    def __attrs_post_init__(self):
        self.folder.mkdir()
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self._sign(self.name, self.key.public_key(), True)
        self.file = self.folder / "authority.pem"
        self.file.write_bytes(_pem(self.certificate))

    key: object = None
    certificate: object = None
    file: object = None

    def issue(self, vm):
        """Issue a certificate for a VM and return its files."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(vm, key.public_key(), False)
        files = TlsSettings(
            certificate=str(self.folder / f"{vm}.pem"),
            key=str(self.folder / f"{vm}.key"),
            authority=str(self.file),
        )
        with open(files.certificate, "wb") as file:
            file.write(_pem(certificate))
        with open(files.key, "wb") as file:
            file.write(
                key.private_bytes(
                    serialization.Encoding.PEM,
                    serialization.PrivateFormat.PKCS8,
                    serialization.NoEncryption(),
                )
            )
        return files

    def _sign(self, name, key, authority):
        now = datetime.datetime.now(datetime.UTC)
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        issuer = self.certificate.subject if self.certificate else subject
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(authority, None), True)
            .add_extension(x509.SubjectAlternativeName([address]), False)
            .sign(self.key, hashes.SHA256())
        )


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)


@pytest.fixture
def fleet_authority(tmp_path):
    return Authority(tmp_path / "fleet", "fleet")


@pytest.fixture
def other_authority(tmp_path):
    return Authority(tmp_path / "other", "other")


@frozen
class Running:
    """The addresses of an entry that runs in the test's event loop."""

    inner: str
    http: str


@pytest.fixture
def entry_settings(tmp_path):
    def make(**changes):
        values = {
            "process": ProcessSettings(
                vm=f"entry.{next(ENTRY_NUMBERS)}",
                region="r",
                data_centre="d",
                events=str(tmp_path / "entry.events"),
            ),
            "platform": PlatformSettings(
                UNAVAILABLE_URL, UNAVAILABLE_URL, UNAVAILABLE_URL
            ),
            "services": [ServiceSettings("drafting"), ServiceSettings("orders")],
            "operators": [OperatorSettings("one", OPERATOR)],
            "callers": [
                CallerSettings("org-1", CALLER),
                CallerSettings("org-2", OTHER_CALLER),
            ],
            "plain_text": True,
        }
        return EntrySettings(**values | changes)

    return make


@pytest.fixture
def run_entry(monkeypatch):
    """Return a context manager that runs an entry and stops it gracefully."""

    @contextlib.asynccontextmanager
    async def run(cfg):
        ready = asyncio.get_running_loop().create_future()
        monkeypatch.setattr(
            entry_module,
            "announce_ready",
            lambda **addresses: ready.set_result(addresses),
        )
        stop = asyncio.Event()
        task = asyncio.create_task(entry_module.serve_entry(cfg, stop))
        await asyncio.wait({task, ready}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
        addresses = ready.result()
        try:
            yield Running(addresses["inner"], addresses["http"])
        finally:
            stop.set()
            await task

    return run


async def talk(address, data, ssl=None):
    """Send bytes to a server; return the status and body of its first response."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), ssl=ssl)
    writer.write(data)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    body = await asyncio.wait_for(reader.readexactly(length), 10)
    writer.close()
    return int(head.split()[1]), body


@pytest.fixture(name="talk")
def talk_fixture():
    return talk
