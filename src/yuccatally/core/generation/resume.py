"""Reuse of the KV state of the previous attempt by a new one."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions

if TYPE_CHECKING:
    from collections.abc import Collection

    from yuccatally.core.generation import attempt as attempt_module

# A copy within an engine costs one exchange, about the time in which an engine
# prefills this number of tokens.
MIN_COPY_TOKENS = 16
# A transfer between engines costs two exchanges and the bytes of the state.
MIN_TRANSFER_TOKENS = 512


@dataclasses.dataclass(frozen=True)
class ReusableState:
    """KV state on healthy engines, all at one position.

    Attributes:
        attempt: Attempt that built the state.
        position: Number of positions that it covers.
        hops: Last stages of the path of that attempt.
    """

    attempt: int
    position: int
    hops: tuple[actions.Hop, ...]


def find_reusable(
    failed: attempt_module.Attempt, engine: str
) -> ReusableState | None:
    """Returns the KV state that is worth reusing and safe after a failure.

    Stages up to the failed one must recompute their activations for the
    replacement, so only the state of later stages can be reused. A stage with
    an outstanding step is at an unknown position, so its state is never
    reused.

    Args:
        failed: Attempt that is abandoned.
        engine: Engine that failed.
    """
    position = failed.stages[-1].confirmed
    hops: list[actions.Hop] = []
    for progress in reversed(failed.stages):
        idle = progress.outstanding is None and not progress.importing
        if (
            progress.hop.engine == engine
            or not idle
            or progress.confirmed != position
        ):
            break
        hops.insert(0, progress.hop)
    if not hops or not MIN_COPY_TOKENS <= position < failed.length:
        return None
    return ReusableState(failed.number, position, tuple(hops))


def prefer_previous_engines(
    path: actions.Path, previous: actions.Path | None, usable: Collection[str]
) -> actions.Path:
    """Returns the path with the usable engines of the previous one.

    Args:
        path: Chosen path.
        previous: Path of the attempt that failed, None for the first attempt.
        usable: Engines that are connected and did not fail.
    """
    if previous is None or previous.pipeline != path.pipeline:
        return path
    if len(previous.hops) != len(path.hops):
        return path
    hops = tuple(
        previous_hop
        if previous_hop.engine in usable
        and _layers(previous_hop) == _layers(new_hop)
        else new_hop
        for previous_hop, new_hop in zip(previous.hops, path.hops, strict=True)
    )
    return dataclasses.replace(path, hops=hops)


def plan_imports(
    state: ReusableState | None, request: str, attempt: int, path: actions.Path
) -> tuple[actions.ImportState, ...]:
    """Returns the imports that replace the prefill of the last stages.

    Only consecutive stages up to the last one can skip the prefill: a stage
    that needs a prefill needs the activations of all previous stages.
    """
    if state is None:
        return ()
    sources = {_layers(h): h.engine for h in state.hops}
    imports: list[actions.ImportState] = []
    for hop in reversed(path.hops[1:]):
        source = sources.get(_layers(hop))
        if source is None:
            break
        if source != hop.engine and state.position < MIN_TRANSFER_TOKENS:
            break
        imports.append(
            actions.ImportState(
                source,
                hop.engine,
                request,
                state.attempt,
                attempt,
                state.position,
            )
        )
    return tuple(imports)


def _layers(hop: actions.Hop) -> tuple[int, int]:
    return (hop.first_layer, hop.last_layer)
