"""Processes accept only certificates of the fleet's authority, also after a reload."""

import asyncio
import ssl

import pytest
from attrs import evolve
from grpclib.server import Server
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.events import HybridClock
from wasabideck_base.settings import AccessSettings
from wasabideck_base.ticket_replication import PeersService
from wasabideck_base.tls import KeysUnusable, TlsContexts
from wasabideck_entry.operator_client import EntryRefused, OperatorClient
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

OPERATOR = "sample-operator-token"


async def status_vm(address, context):
    channels = Channels(HybridClock(), context)
    try:
        stub = PeersStub(channels.get(address))
        return (await stub.Status(pb.StatusRequest(), timeout=5)).vm
    finally:
        channels.close()


async def start_server(context):
    server = Server([PeersService(None, lambda req: pb.StatusReply(vm="one"))])
    await server.start("127.0.0.1", 0, ssl=context)
    host, port = server._server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def test_the_inner_port_accepts_only_the_fleets_certificates(
    fleet_authority, other_authority
):
    # An attacker in the network connects to an agent's port and sends requests and
    # tickets. Without client certificates the agent would accept them.
    fleet = TlsContexts(fleet_authority.issue("one"))
    peer = TlsContexts(fleet_authority.issue("two"))
    foreign = TlsContexts(
        evolve(other_authority.issue("three"), authority=str(fleet_authority.file))
    )
    without_certificate = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    without_certificate.check_hostname = False
    without_certificate.load_verify_locations(fleet_authority.file)
    without_certificate.set_alpn_protocols(["h2"])

    async def body():
        server, address = await start_server(fleet.inner_server)
        assert await status_vm(address, peer.inner_client) == "one"
        for context in (foreign.inner_client, without_certificate, None):
            with pytest.raises(CALL_FAILURES):
                await status_vm(address, context)
        assert await status_vm(address, peer.inner_client) == "one"
        server.close()

    asyncio.run(body())


def test_a_process_sends_nothing_to_an_unknown_server(fleet_authority, other_authority):
    # A VM's IP address is reassigned to another machine, which receives the requests
    # for the VM. The client must verify the server's certificate as well.
    foreign = TlsContexts(other_authority.issue("one"))
    peer = TlsContexts(fleet_authority.issue("two"))

    async def body():
        server, address = await start_server(foreign.caller_server)
        with pytest.raises(CALL_FAILURES):
            await status_vm(address, peer.inner_client)
        server.close()

    asyncio.run(body())


def test_replaced_keys_are_used_by_the_next_connection(
    fleet_authority, other_authority
):
    # Certificates are replaced before they expire. A process that keeps the old one
    # until it restarts is rejected by the fleet when the old one expires.
    files = fleet_authority.issue("one")
    keys = TlsContexts(files)
    newer = TlsContexts(other_authority.issue("two"))

    async def body():
        server, address = await start_server(keys.inner_server)
        with pytest.raises(CALL_FAILURES):
            await status_vm(address, newer.inner_client)
        assert not keys.reload_if_changed()
        reissued = other_authority.issue("one")
        for name in ("certificate", "key", "authority"):
            with open(getattr(reissued, name), "rb") as file:
                data = file.read()
            with open(getattr(files, name), "wb") as file:
                file.write(data)
        assert keys.reload_if_changed()
        assert await status_vm(address, newer.inner_client) == "one"
        server.close()

    asyncio.run(body())


def test_partly_replaced_keys_leave_the_previous_ones_in_use(fleet_authority):
    # A certificate is replaced shortly before its key. If the files were loaded
    # in this state, every handshake would fail until the next change.
    files = fleet_authority.issue("one")
    keys = TlsContexts(files)
    peer = TlsContexts(fleet_authority.issue("two"))
    with open(files.certificate, "rb") as file:
        old_certificate = file.read()

    async def body():
        server, address = await start_server(keys.inner_server)
        with open(peer.files.certificate, "rb") as file:
            new_certificate = file.read()
        with open(files.certificate, "wb") as file:
            file.write(new_certificate)
        with pytest.raises(KeysUnusable):
            keys.reload_if_changed()
        assert await status_vm(address, peer.inner_client) == "one"
        with open(files.certificate, "wb") as file:
            file.write(old_certificate)
        assert keys.reload_if_changed()
        assert await status_vm(address, peer.inner_client) == "one"
        server.close()

    asyncio.run(body())


def test_missing_keys_abort_startup(tmp_path, fleet_authority):
    files = evolve(fleet_authority.issue("one"), key=str(tmp_path / "absent"))
    with pytest.raises(KeysUnusable) as caught:
        TlsContexts(files)
    assert files.certificate in str(caught.value)


def test_operators_connect_to_an_entry_over_tls(
    fleet_authority, other_authority, entry_settings, run_entry
):
    cfg = entry_settings(tls=fleet_authority.issue("entry"), plain_text=False)

    async def body():
        async with run_entry(cfg) as entry:
            url = f"https://{entry.http}"
            good = AccessSettings(url, OPERATOR, str(fleet_authority.file))
            client = OperatorClient(good)
            assert await asyncio.to_thread(client.get, "/v1/fleet") == []
            # An entry with another authority's certificate must not receive the token.
            wrong = evolve(good, authority=str(other_authority.file))
            with pytest.raises(EntryRefused):
                await asyncio.to_thread(OperatorClient(wrong).get, "/v1/fleet")
            plain = AccessSettings(f"http://{entry.http}", OPERATOR, plain_text=True)
            with pytest.raises(Exception, match=entry.http):
                await asyncio.to_thread(OperatorClient(plain).get, "/v1/fleet")

    asyncio.run(body())
