"""Only processes with the fleet's certificate are talked to, also after a change."""

import asyncio
import ssl

import pytest
from attrs import evolve
from grpclib.server import Server
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_base.events import Clock
from wasabideck_base.settings import AccessSettings
from wasabideck_base.spread import PeersService
from wasabideck_base.tls import Keys, KeysUnusable
from wasabideck_entry.operator_client import EntryRefused, OperatorClient
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

OPERATOR = "sample-operator-token"


async def asked(address, context):
    channels = Channels(Clock(), context)
    try:
        stub = PeersStub(channels.get(address))
        return (await stub.Status(pb.StatusRequest(), timeout=5)).vm
    finally:
        channels.close()


async def serving(context):
    server = Server([PeersService(None, lambda req: pb.StatusReply(vm="one"))])
    await server.start("127.0.0.1", 0, ssl=context)
    host, port = server._server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def test_the_inner_port_takes_only_the_fleets_certificate(
    fleet_authority, other_authority
):
    # Somebody reaches an agent's port and sends it requests and tickets of their
    # own. Without a certificate asked for, whoever is in the network is obeyed.
    fleet = Keys(fleet_authority.issue("one"))
    peer = Keys(fleet_authority.issue("two"))
    stranger = Keys(
        evolve(other_authority.issue("three"), authority=str(fleet_authority.file))
    )
    nameless = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    nameless.check_hostname = False
    nameless.load_verify_locations(fleet_authority.file)
    nameless.set_alpn_protocols(["h2"])

    async def body():
        server, address = await serving(fleet.inner_server)
        assert await asked(address, peer.inner_client) == "one"
        for context in (stranger.inner_client, nameless, None):
            with pytest.raises(LINK_FAILURES):
                await asked(address, context)
        assert await asked(address, peer.inner_client) == "one"
        server.close()

    asyncio.run(body())


def test_a_process_sends_nothing_to_a_stranger(fleet_authority, other_authority):
    # A VM's number is given to another machine, and requests go to whoever answers
    # there. The client has to ask for the fleet's certificate as well.
    stranger = Keys(other_authority.issue("one"))
    peer = Keys(fleet_authority.issue("two"))

    async def body():
        server, address = await serving(stranger.http)
        with pytest.raises(LINK_FAILURES):
            await asked(address, peer.inner_client)
        server.close()

    asyncio.run(body())


def test_replaced_keys_are_used_by_the_next_connection(
    fleet_authority, other_authority
):
    # Certificates are replaced before they lapse. A process that keeps the old one
    # until it is restarted drops out of the fleet on the day that it lapses.
    files = fleet_authority.issue("one")
    keys = Keys(files)
    newer = Keys(other_authority.issue("two"))

    async def body():
        server, address = await serving(keys.inner_server)
        with pytest.raises(LINK_FAILURES):
            await asked(address, newer.inner_client)
        assert not keys.refresh()
        reissued = other_authority.issue("one")
        for name in ("certificate", "key", "authority"):
            with open(getattr(reissued, name), "rb") as file:
                data = file.read()
            with open(getattr(files, name), "wb") as file:
                file.write(data)
        assert keys.refresh()
        assert await asked(address, newer.inner_client) == "one"
        server.close()

    asyncio.run(body())


def test_half_replaced_keys_leave_the_former_in_use(fleet_authority):
    # A certificate arrives a moment before its key. Taken as they are, every
    # handshake fails until the next change.
    files = fleet_authority.issue("one")
    keys = Keys(files)
    peer = Keys(fleet_authority.issue("two"))
    with open(files.certificate, "rb") as file:
        former = file.read()

    async def body():
        server, address = await serving(keys.inner_server)
        with open(peer.files.certificate, "rb") as file:
            halfway = file.read()
        with open(files.certificate, "wb") as file:
            file.write(halfway)
        with pytest.raises(KeysUnusable):
            keys.refresh()
        assert await asked(address, peer.inner_client) == "one"
        with open(files.certificate, "wb") as file:
            file.write(former)
        assert keys.refresh()
        assert await asked(address, peer.inner_client) == "one"
        server.close()

    asyncio.run(body())


def test_absent_keys_end_the_start(tmp_path, fleet_authority):
    files = evolve(fleet_authority.issue("one"), key=str(tmp_path / "absent"))
    with pytest.raises(KeysUnusable) as caught:
        Keys(files)
    assert files.certificate in str(caught.value)


def test_operators_talk_to_an_entry_over_tls(
    fleet_authority, other_authority, entry_settings, run_entry
):
    cfg = entry_settings(tls=fleet_authority.issue("entry"), plain_text=False)

    async def body():
        async with run_entry(cfg) as entry:
            url = f"https://{entry.http}"
            good = AccessSettings(url, OPERATOR, str(fleet_authority.file))
            client = OperatorClient(good)
            assert await asyncio.to_thread(client.get, "/v1/fleet") == []
            # An entry that shows another authority's certificate gets no token.
            wrong = evolve(good, authority=str(other_authority.file))
            with pytest.raises(EntryRefused):
                await asyncio.to_thread(OperatorClient(wrong).get, "/v1/fleet")
            plain = AccessSettings(f"http://{entry.http}", OPERATOR, plain_text=True)
            with pytest.raises(Exception, match=entry.http):
                await asyncio.to_thread(OperatorClient(plain).get, "/v1/fleet")

    asyncio.run(body())
