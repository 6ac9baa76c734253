"""Authentication of requests before their bodies are read."""

import asyncio

import orjson
import pytest
from attrs import evolve
from wasabideck_base.process import AddressUnusable
from wasabideck_base.settings import CallerSettings
from wasabideck_entry.authentication import NotAuthorised, authenticate, organisation_of

OPERATOR = "sample-operator-token"
CALLER = "sample-caller-token"
OTHER_CALLER = "sample-other-caller-token"


def request_head(path, method="POST", length=1_000_000, **headers):
    lines = [f"{method} {path} HTTP/1.1", "host: x", f"content-length: {length}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


@pytest.mark.parametrize(
    ("path", "headers", "status", "title"),
    [
        ("/v1/services/drafting/brief", {}, 401, "NotAuthorised"),
        (
            "/v1/services/drafting/brief",
            {"authorization": f"Bearer {OPERATOR}"},
            401,
            "NotAuthorised",
        ),
        (
            "/v1/services/drafting/brief",
            {"authorization": f"Bearer {CALLER}", "x-organisation": "org-2"},
            403,
            "OtherOrganisation",
        ),
        ("/v1/tickets", {"authorization": f"Bearer {CALLER}"}, 401, "NotAuthorised"),
        ("/v1/tickets", {"authorization": "Bearer \xff"}, 401, "NotAuthorised"),
    ],
)
def test_a_wrong_credential_is_refused_before_the_body(
    entry_settings, run_entry, talk, path, headers, status, title
):
    # If a body were read before the credential is checked, a client without one could
    # fill an entry's memory. The test never sends the body, so that only a refusal
    # based on the head can be received.
    async def body():
        async with run_entry(entry_settings()) as entry:
            return await talk(entry.http, request_head(path, **headers))

    received_status, data = asyncio.run(body())
    problem = orjson.loads(data)
    assert (received_status, problem["title"]) == (status, title)
    if path.startswith("/v1/services"):
        assert problem["outcome"] == "not-run"


def test_a_valid_credential_identifies_its_owner(entry_settings):
    cfg = entry_settings()
    path = "/v1/services/drafting/brief"
    header = {"authorization": f"Bearer {OTHER_CALLER}"}
    assert authenticate(cfg, path, header) == "org-2"
    assert authenticate(cfg, path, header | {"x-organisation": "org-2"}) == "org-2"
    assert (
        authenticate(cfg, "/v1/report", {"authorization": f"Bearer {OPERATOR}"})
        == "one"
    )
    assert authenticate(cfg, "/ready", {}) == ""


@pytest.mark.parametrize("header", ["", "Bearer ", CALLER, f"bearer {CALLER}"])
def test_other_forms_of_a_credential_are_refused(header):
    with pytest.raises(NotAuthorised):
        organisation_of(header, [CallerSettings("org", CALLER)])


@pytest.mark.parametrize("port", ["inner", "http"])
def test_an_address_in_use_is_a_typed_error(entry_settings, run_entry, port):
    async def body():
        cfg = entry_settings()
        async with run_entry(cfg) as entry:
            taken = evolve(entry_settings().process, **{port: getattr(entry, port)})
            with pytest.raises(AddressUnusable) as caught:
                async with run_entry(entry_settings(process=taken)):
                    pass
        return caught.value.address == getattr(entry, port)

    assert asyncio.run(body())
