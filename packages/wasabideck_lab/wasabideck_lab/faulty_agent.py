"""The real agent, but for a share of its chunks that it sends with a flipped byte."""

from __future__ import annotations

import random
import sys

from wasabideck_agent.__main__ import main as serve
from wasabideck_agent.chunks_service import ChunksService
from wasabideck_wire import inner_pb2 as pb

__all__ = ["main"]


def main() -> None:
    """Run the agent's command line behind a first argument: the share."""
    share = float(sys.argv.pop(1))
    rng = random.Random(sys.argv[-1])
    honest = ChunksService._chunk

    def corrupt(service: ChunksService, req: pb.FetchRequest) -> bytes | None:
        data = honest(service, req)
        if not data or rng.random() >= share:
            return data
        return bytes([data[0] ^ 1]) + data[1:]

    ChunksService._chunk = corrupt
    serve()


if __name__ == "__main__":
    main()
