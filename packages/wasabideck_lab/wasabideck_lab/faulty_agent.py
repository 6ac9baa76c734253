"""Runs the real agent, except that it corrupts a fraction of the chunks it sends."""

from __future__ import annotations

import random
import sys

from wasabideck_agent.__main__ import main as serve
from wasabideck_agent.chunks_service import ChunksService
from wasabideck_wire import inner_pb2 as pb

__all__ = ["main"]


def main() -> None:
    """Run the agent's command line.

    The first argument is the fraction of chunks to corrupt. The other arguments are
    those of the agent.
    """
    corrupt_ratio = float(sys.argv.pop(1))
    rng = random.Random(sys.argv[-1])
    original = ChunksService._chunk

    def corrupt(service: ChunksService, req: pb.FetchRequest) -> bytes | None:
        data = original(service, req)
        if not data or rng.random() >= corrupt_ratio:
            return data
        return bytes([data[0] ^ 1]) + data[1:]

    ChunksService._chunk = corrupt
    serve()


if __name__ == "__main__":
    main()
