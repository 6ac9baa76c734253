"""A model of one engine: a batch that reads prompts and writes tokens in passes.

It follows the cost model that engines publish: a pass steps all requests that write,
and reads waiting prompts between the steps, which holds the writers up. Nothing here
waits for real time, so that seconds of a fleet are played in tens of milliseconds.
"""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["Draft", "Engine", "EngineCosts"]


@frozen
class EngineCosts:
    """Published costs of an engine.

    Attributes
    ----------
    step, step_per_request, context_per_token : float
        Seconds of a token step, and what each writing request and each token of its
        context add to it.
    read_rate : float
        Prompt tokens read in a second.
    chunk : int
        Most prompt tokens that are read in one step.
    stride : int
        Token steps of a pass, and tokens of a stream's event.
    """

    slots: int = 16
    step: float = 0.00927
    step_per_request: float = 0.0000232
    context_per_token: float = 0.0000000322
    read_rate: float = 20_700.0
    chunk: int = 2048
    stride: int = 5


@define(eq=False)
class Draft:
    """One request on its way through an engine.

    Attributes
    ----------
    arrived : float
        When its caller first asked, seconds.
    first_at, last_at, longest_pause : float
        When its first and its latest event came, and its longest pause, seconds.
    left_at : float or None
        When its caller gave up.
    """

    arrived: float
    goal: float
    worth: float
    prompt: int
    tokens: int
    urgency: int = 0
    to_read: int = 0
    written: int = 0
    sent_at: float = 0.0
    first_at: float | None = None
    last_at: float = 0.0
    longest_pause: float = 0.0
    ended: bool = False
    left_at: float | None = None
    tries: int = 0


@define(eq=False)
class Engine:
    """An engine's batch and its queue.

    Attributes
    ----------
    loading_until : float
        Until when weights are being loaded, and nothing begins, seconds.
    swapping : bool
        What runs is finished, and nothing begins, as weights are due to be loaded.
    """

    costs: EngineCosts
    batch: list[Draft] = field(factory=list)
    queue: list[Draft] = field(factory=list)
    loading_until: float = 0.0
    swapping: bool = False

    @property
    def pressed(self) -> int:
        """Requests that run or wait."""
        return len(self.batch) + len(self.queue)

    def enter(self, draft: Draft, now: float) -> None:
        """Put a request into the queue."""
        draft.sent_at = now
        draft.to_read = draft.prompt
        self.queue.append(draft)

    def drop(self, draft: Draft) -> None:
        """Take out a request whose caller has left."""
        for place in (self.batch, self.queue):
            if draft in place:
                place.remove(draft)

    def begin_pass(self, now: float) -> float:
        """Admit what fits and begin a pass; how long it takes, 0 with nothing to do."""
        if not self.swapping and now >= self.loading_until:
            self._admit()
        if not self.batch:
            return 0.0
        writers = [draft for draft in self.batch if not draft.to_read]
        steps = self.costs.stride if writers else 1
        return self._write_seconds(writers, steps) + self._read(steps)

    def end_pass(self, now: float) -> list[Draft]:
        """Write an event for each request that could write; those that ended."""
        ended = []
        for draft in list(self.batch):
            if draft.to_read:
                continue
            # What was read in this pass shows its first token at the pass's end.
            draft.written += self.costs.stride if draft.first_at is not None else 1
            _note_event(draft, now)
            if draft.written >= draft.tokens:
                draft.ended = True
                self.batch.remove(draft)
                ended.append(draft)
        return ended

    def _admit(self) -> None:
        self.queue.sort(key=lambda draft: (draft.urgency, draft.sent_at))
        while self.queue and len(self.batch) < self.costs.slots:
            self.batch.append(self.queue.pop(0))

    def _write_seconds(self, writers: list[Draft], steps: int) -> float:
        if not writers:
            return 0.0
        context = sum(draft.prompt + draft.written for draft in writers)
        step = self.costs.step + self.costs.step_per_request * len(writers)
        return steps * (step + self.costs.context_per_token * context)

    def _read(self, steps: int) -> float:
        left = budget = self.costs.chunk * steps
        for draft in self.batch:
            part = min(draft.to_read, left)
            draft.to_read -= part
            left -= part
        return (budget - left) / self.costs.read_rate


def _note_event(draft: Draft, now: float) -> None:
    if draft.first_at is None:
        draft.first_at = now
    else:
        draft.longest_pause = max(draft.longest_pause, now - draft.last_at)
    draft.last_at = now
