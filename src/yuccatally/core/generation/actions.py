"""Actions that a generation requests from its driver."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.requests import outcomes
    from yuccatally.core.stages import messages


@dataclasses.dataclass(frozen=True)
class Hop:
    """One stage of a path: an engine and its range of layers."""

    engine: str
    first_layer: int
    last_layer: int


@dataclasses.dataclass(frozen=True)
class Path:
    """The sequence of engines of an attempt, one for each stage."""

    pipeline: str
    model: str
    version: str
    hops: tuple[Hop, ...]


@dataclasses.dataclass(frozen=True)
class Job:
    """A caller's request for an answer of a model.

    Attributes:
        request: Request id.
        model: Name of the model.
        version: Version of the weights used for the whole answer.
        prompt: Token ids.
        max_tokens: Maximum number of tokens to generate.
        end_token: Token id that ends the answer.
        priority: Class of urgency; a lower value is served first.
        deadline: Monotonic time in seconds at which the request is abandoned.
        account: Client account that the request is charged to.
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

        Classes below urgent are ordered at admission only. Once admitted they
        are equal, since an answer that is overtaken on the engines may miss
        its deadline after most of its cost is spent.
        """
        return min(self.priority, 1)


@dataclasses.dataclass(frozen=True)
class SubmitStep:
    """Queues an item for an engine."""

    engine: str
    item: messages.StepItem


@dataclasses.dataclass(frozen=True)
class EmitToken:
    """Delivers the next token to the caller."""

    request: str
    token: int


@dataclasses.dataclass(frozen=True)
class ReleaseAttempt:
    """Releases the KV state of an attempt on an engine."""

    engine: str
    request: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class ImportState:
    """Copies or transfers the KV state of an earlier attempt to a new one.

    Attributes:
        source: Engine that holds the state.
        target: Engine of the new attempt; the source itself for a copy.
        request: Request id.
        source_attempt: Attempt that built the state.
        attempt: Attempt that continues it.
        position: Exact position that the state must be at.
    """

    source: str
    target: str
    request: str
    source_attempt: int
    attempt: int
    position: int


@dataclasses.dataclass(frozen=True)
class NeedPath:
    """Requests a path without the engines that just failed.

    Attributes:
        request: Request id.
        excluded: Engines that must not be part of the next path.
        delay_s: Delay before the choice, in seconds; grows with attempts that
            produced no token.
    """

    request: str
    excluded: frozenset[str]
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Finished:
    """Ends the request with a complete answer."""

    request: str
    tokens: int
    stopped: bool


@dataclasses.dataclass(frozen=True)
class Failed:
    """Ends the request without a complete answer."""

    request: str
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True)
class ResultDropped:
    """Reports a dropped result that matches no current step."""

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
