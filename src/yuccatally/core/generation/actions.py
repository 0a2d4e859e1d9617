"""Actions that a generation asks its surroundings to carry out."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.requests import outcomes
    from yuccatally.core.stages import messages


@dataclasses.dataclass(frozen=True)
class Hop:
    """One stage of a route: an engine and its range of layers."""

    engine: str
    first_layer: int
    last_layer: int


@dataclasses.dataclass(frozen=True)
class Path:
    """One engine for each stage of a pipeline."""

    pipeline: str
    model: str
    version: str
    hops: tuple[Hop, ...]


@dataclasses.dataclass(frozen=True)
class Job:
    """What a caller asked a model for.

    Attributes:
        request: Request id.
        model: Name of the model.
        version: Version of the weights used for the whole answer.
        prompt: Token ids.
        max_tokens: Greatest number of tokens to generate.
        end_token: Token id that ends the answer.
        priority: Class of urgency; a lower value is served first.
        deadline: Monotonic time in seconds at which the request is given up.
        account: Client account it is counted for.
    """

    request: str
    model: str
    version: str
    prompt: tuple[int, ...]
    max_tokens: int
    end_token: int
    priority: int
    deadline: float
    account: str = ""

    @property
    def step_priority(self) -> int:
        """Priority of steps on engines.

        Classes below urgent are served in order at admission. Once let in they
        are equal, since an answer that is overtaken on the engines may come
        too late after most of its cost.
        """
        return min(self.priority, 1)


@dataclasses.dataclass(frozen=True)
class SubmitStep:
    """Queue an item for an engine."""

    engine: str
    item: messages.StepItem


@dataclasses.dataclass(frozen=True)
class EmitToken:
    """Give the next token to the caller."""

    request: str
    token: int


@dataclasses.dataclass(frozen=True)
class ReleaseAttempt:
    """Release the KV state of an attempt on an engine."""

    engine: str
    request: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class ImportState:
    """Continue the KV state of an earlier attempt under a new attempt.

    Attributes:
        source: Engine that holds the state.
        target: Engine of the new attempt; equal to the source for a copy.
        request: Request id.
        source_attempt: Attempt that built the state.
        attempt: Attempt that continues it.
        position: Position that the state must be at, exactly.
    """

    source: str
    target: str
    request: str
    source_attempt: int
    attempt: int
    position: int


@dataclasses.dataclass(frozen=True)
class NeedPath:
    """Choose a route, without the engines that just failed.

    Attributes:
        request: Request id.
        excluded: Engines that must not be part of the next route.
        delay_s: Wait before the choice, in seconds; grows with attempts that
            gave no token.
    """

    request: str
    excluded: frozenset[str]
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Finished:
    """The answer is whole."""

    request: str
    tokens: int
    stopped: bool


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request ends without a whole answer."""

    request: str
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True)
class ResultDropped:
    """A result that belongs to no current step was ignored."""

    request: str
    reason: str


Action = (
    SubmitStep
    | EmitToken
    | ReleaseAttempt
    | ImportState
    | NeedPath
    | Finished
    | Failed
    | ResultDropped
)
