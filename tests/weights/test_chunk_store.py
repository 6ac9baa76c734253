"""No order of chunks, repeats and cancels makes a partial or mixed model servable."""

import pytest
from driver import manifest_of
from hypothesis import given
from hypothesis import strategies as st
from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_policy.manifests import CorruptChunk, chunk_digest

# Version 2 shares two chunks with version 1, and contains one chunk twice.
TEXTS = {"v1": ["a", "b", "c", "d"], "v2": ["a", "x", "c", "x", "y"]}
MANIFESTS = {version: manifest_of(version, texts) for version, texts in TEXTS.items()}

versions = st.sampled_from(sorted(TEXTS))
steps = st.lists(
    st.one_of(
        st.tuples(st.just("good"), versions, st.integers(0, 4)),
        st.tuples(st.just("corrupt"), versions, st.integers(0, 4)),
        st.tuples(st.just("cancel"), versions, st.just(0)),
    ),
    max_size=40,
)


@given(steps)
def test_a_complete_manifest_has_exactly_the_bytes_of_one_version(sequence):
    store = ChunkStore()
    for kind, version, number in sequence:
        manifest, texts = MANIFESTS[version], TEXTS[version]
        index = number % len(texts)
        if kind == "cancel":
            store.keep_manifests({manifest.digest})
            continue
        store.add_manifest(manifest)
        data = texts[index].encode() + (b"!" if kind == "corrupt" else b"")
        try:
            store.add_chunk(manifest.chunks[index], data, "peer")
        except CorruptChunk:
            assert kind == "corrupt"
        for name, known in MANIFESTS.items():
            parts = [store.get(digest) for digest in known.chunks]
            there = {i for i, part in enumerate(parts) if part is not None}
            if store.manifest(known.digest):
                assert store.held_chunks(known) == sum(1 << i for i in there)
            if store.is_complete(known):
                assert b"".join(parts).decode() == "".join(TEXTS[name])


def test_the_error_for_a_corrupt_chunk_has_its_source():
    store = ChunkStore()
    with pytest.raises(CorruptChunk) as caught:
        store.add_chunk(chunk_digest(b"good"), b"bad", "vm-7")
    assert caught.value.source == "vm-7"


def test_superseded_weights_are_freed():
    # Guards against an agent that grows by one model with each rollout until its VM
    # kills it, because chunks of versions that no ticket names any more are kept.
    store = ChunkStore()
    for version, texts in TEXTS.items():
        store.add_manifest(MANIFESTS[version])
        for text in texts:
            store.add_chunk(chunk_digest(text.encode()), text.encode(), "peer")
    store.keep_manifests({MANIFESTS["v2"].digest})
    assert store.get(chunk_digest(b"b")) is None
    assert store.is_complete(MANIFESTS["v2"])
