"""Properties of a request as declared by the client."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Request:
    """Properties of a request that determine how it is handled.

    Attributes:
        id: Id that the client assigned to this attempt; may be empty.
        key: API key of the client account; empty if none was sent.
        wait_s: Time for which the client waits; None if not stated.
        prompt_tokens: Length of the prompt; 0 if not stated.
        max_answer_tokens: Maximum length of the answer; 0 if not stated.
        estimated_answer_tokens: Length of the answer that the client estimates;
            0 if not stated.
        last_event_id: Id of the last event that the client received; empty for
            none.
        shared_parts: Ids of the parts of the prompt that other requests may
            share, without repetitions. The last part is the request's own.
    """

    id: str
    key: str
    wait_s: float | None
    prompt_tokens: int
    max_answer_tokens: int
    estimated_answer_tokens: int
    last_event_id: str
    shared_parts: tuple[str, ...] = ()

    def memory_tokens(self, mean_answer_tokens: float) -> float:
        """Returns the number of tokens that the request is expected to hold.

        The client's estimate is right at the median but often far off, so it
        is averaged with the mean answer length and capped at the stated
        maximum.
        """
        answer = mean_answer_tokens
        if self.estimated_answer_tokens:
            answer = (self.estimated_answer_tokens + mean_answer_tokens) / 2
        if self.max_answer_tokens:
            answer = min(answer, self.max_answer_tokens)
        return self.prompt_tokens + answer
