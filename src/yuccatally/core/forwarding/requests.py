"""A request as a client sent it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Request:
    """What decides about a request.

    Attributes:
        id: Id that the client gave to this attempt; may be empty.
        key: Key of the client account; empty if none was sent.
        wait_s: How long the client waits; None if it did not say.
        prompt_tokens: Tokens of the prompt; 0 if not stated.
        max_answer_tokens: Most tokens of the answer; 0 if not stated.
        estimated_answer_tokens: Estimate by the client; 0 if not stated.
        last_event_id: Last event that the client has; empty for none.
    """

    id: str
    key: str
    wait_s: float | None
    prompt_tokens: int
    max_answer_tokens: int
    estimated_answer_tokens: int
    last_event_id: str

    def memory_tokens(self, usual_answer: float) -> float:
        """Returns the tokens that the request is expected to hold.

        The client's estimate is right at the median but often far off, so it
        is averaged with the usual answer and kept below the stated most.
        """
        answer = usual_answer
        if self.estimated_answer_tokens:
            answer = (self.estimated_answer_tokens + usual_answer) / 2
        if self.max_answer_tokens:
            answer = min(answer, self.max_answer_tokens)
        return self.prompt_tokens + answer
