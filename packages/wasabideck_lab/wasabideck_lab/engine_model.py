"""A model of one engine that processes a batch of requests in passes.

It follows the cost model that engines publish: a pass runs token steps for all requests
that generate output, and reads waiting prompts between the steps, which delays the
generating requests. Nothing here waits for real time, so that seconds of a fleet are
simulated in tens of milliseconds.
"""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["Draft", "Engine", "EngineCosts"]


@frozen
class EngineCosts:
    """Published costs of an engine.

    Attributes
    ----------
    step_seconds, step_seconds_per_request, step_seconds_per_context_token : float
        Duration of a token step, and what each generating request and each token of
        its context add to it.
    prompt_tokens_per_second : float
        Prompt tokens read per second.
    max_prompt_tokens_per_step : int
        Maximum number of prompt tokens read in one step.
    steps_per_pass : int
        Token steps of a pass, which is also the number of tokens in an event of a
        stream.
    """

    slots: int = 16
    step_seconds: float = 0.00927
    step_seconds_per_request: float = 0.0000232
    step_seconds_per_context_token: float = 0.0000000322
    prompt_tokens_per_second: float = 20_700.0
    max_prompt_tokens_per_step: int = 2048
    steps_per_pass: int = 5


@define(eq=False)
class Draft:
    """One request to an engine, and its progress.

    Attributes
    ----------
    arrived_at : float
        When its caller first sent it, seconds.
    target_seconds : float
        Time within which its first event must arrive.
    value : float
        Value of a response in time.
    first_at, last_at, longest_interval_seconds : float
        When its first and its latest event arrived, and its longest interval between
        two events, seconds.
    cancelled_at : float or None
        When its caller cancelled it.
    """

    arrived_at: float
    target_seconds: float
    value: float
    prompt_tokens: int
    output_tokens: int
    urgency: int = 0
    unread_tokens: int = 0
    written_tokens: int = 0
    sent_at: float = 0.0
    first_at: float | None = None
    last_at: float = 0.0
    longest_interval_seconds: float = 0.0
    ended: bool = False
    cancelled_at: float | None = None
    attempts: int = 0


@define(eq=False)
class Engine:
    """An engine's batch and its queue.

    Attributes
    ----------
    loading_until : float
        Until when weights are being loaded and no request starts, seconds.
    swapping : bool
        Whether weights are due to be loaded: running requests are completed, and no
        other request starts.
    """

    costs: EngineCosts
    batch: list[Draft] = field(factory=list)
    queue: list[Draft] = field(factory=list)
    loading_until: float = 0.0
    swapping: bool = False

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return len(self.batch) + len(self.queue)

    def enqueue(self, draft: Draft, now: float) -> None:
        """Put a request into the queue."""
        draft.sent_at = now
        draft.unread_tokens = draft.prompt_tokens
        self.queue.append(draft)

    def remove(self, draft: Draft) -> None:
        """Remove a request, for example one whose caller has disconnected."""
        for requests in (self.batch, self.queue):
            if draft in requests:
                requests.remove(draft)

    def begin_pass(self, now: float) -> float:
        """Admit waiting requests to free slots and begin a pass.

        Returns
        -------
        float
            Duration of the pass in seconds; 0 if there is no request to run.
        """
        if not self.swapping and now >= self.loading_until:
            self._admit()
        if not self.batch:
            return 0.0
        generating = [draft for draft in self.batch if not draft.unread_tokens]
        steps = self.costs.steps_per_pass if generating else 1
        return self._generation_seconds(generating, steps) + self._read_prompts(steps)

    def end_pass(self, now: float) -> list[Draft]:
        """Record an event per generating request, and return those that ended."""
        ended = []
        for draft in list(self.batch):
            if draft.unread_tokens:
                continue
            # A prompt that was read during this pass yields its first token at the
            # end of the pass.
            draft.written_tokens += (
                self.costs.steps_per_pass if draft.first_at is not None else 1
            )
            _record_event(draft, now)
            if draft.written_tokens >= draft.output_tokens:
                draft.ended = True
                self.batch.remove(draft)
                ended.append(draft)
        return ended

    def _admit(self) -> None:
        self.queue.sort(key=lambda draft: (draft.urgency, draft.sent_at))
        while self.queue and len(self.batch) < self.costs.slots:
            self.batch.append(self.queue.pop(0))

    def _generation_seconds(self, generating: list[Draft], steps: int) -> float:
        if not generating:
            return 0.0
        context = sum(
            draft.prompt_tokens + draft.written_tokens for draft in generating
        )
        step = self.costs.step_seconds + self.costs.step_seconds_per_request * len(
            generating
        )
        return steps * (step + self.costs.step_seconds_per_context_token * context)

    def _read_prompts(self, steps: int) -> float:
        left = budget = self.costs.max_prompt_tokens_per_step * steps
        for draft in self.batch:
            tokens = min(draft.unread_tokens, left)
            draft.unread_tokens -= tokens
            left -= tokens
        return (budget - left) / self.costs.prompt_tokens_per_second


def _record_event(draft: Draft, now: float) -> None:
    if draft.first_at is None:
        draft.first_at = now
    else:
        draft.longest_interval_seconds = max(
            draft.longest_interval_seconds, now - draft.last_at
        )
    draft.last_at = now
