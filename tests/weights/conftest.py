import random

import pytest
from driver import CHUNKS, TEXTS, FakePeer, Session, manifest_of
from wasabideck_agent.chunk_store import ChunkStore


@pytest.fixture
def session():
    """Return a factory of sessions of VM a with the given fake peers."""

    def make(*peers, texts=TEXTS, version="v1", store=None, **fields):
        return Session(
            fields.pop("vm", "a"),
            manifest_of(version, texts),
            texts,
            store or ChunkStore(),
            {peer.vm: peer for peer in peers},
            random.Random(11),
            **fields,
        )

    return make


@pytest.fixture
def gaining():
    """Return a factory of peers that gain their chunks one after the other."""

    def make(vm, begin=0.2, step=0.15, first=0, **fields):
        holds = {begin + step * i: 1 << (first + i) % CHUNKS for i in range(CHUNKS)}
        return FakePeer(vm, holds=holds, **fields)

    return make
