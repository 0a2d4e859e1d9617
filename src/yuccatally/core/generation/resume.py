"""What a new attempt can take over from the one before."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions

if TYPE_CHECKING:
    from collections.abc import Collection

    from yuccatally.core.generation import attempt as attempt_module

# A copy inside an engine costs one exchange, about the time in which an engine
# prefills this many tokens.
COPY_MIN_TOKENS = 16
# A transfer between engines costs two exchanges and the bytes of the state.
TRANSFER_MIN_TOKENS = 512


@dataclasses.dataclass(frozen=True)
class ReusableState:
    """KV state on healthy engines, all at one position.

    Attributes:
        attempt: Attempt that built the state.
        position: Number of positions that it covers.
        hops: Last stages of the route of that attempt.
    """

    attempt: int
    position: int
    hops: tuple[actions.Hop, ...]


def find_reusable(
    failed: attempt_module.Attempt, engine: str
) -> ReusableState | None:
    """Finds the state that is worth and safe to keep after a failure.

    Stages up to the failed one have to compute their activations again for
    the replacement, so only the stages behind it can be spared. A stage with
    an unanswered step is at an unknown position and is never kept.

    Args:
        failed: The attempt that is abandoned.
        engine: The engine that failed.
    """
    position = failed.lanes[-1].done
    hops: list[actions.Hop] = []
    for lane in reversed(failed.lanes):
        known = lane.outstanding is None and not lane.importing
        if lane.hop.engine == engine or not known or lane.done != position:
            break
        hops.insert(0, lane.hop)
    if not hops or not COPY_MIN_TOKENS <= position < failed.length:
        return None
    return ReusableState(failed.number, position, tuple(hops))


def prefer_previous_engines(
    path: actions.Path, before: actions.Path | None, usable: Collection[str]
) -> actions.Path:
    """Returns the route with the usable engines of the one before it.

    Args:
        path: The chosen route.
        before: Route of the attempt that failed, None at the first one.
        usable: Engines that are connected and did not fail.
    """
    if before is None or before.pipeline != path.pipeline:
        return path
    if len(before.hops) != len(path.hops):
        return path
    hops = tuple(
        old if old.engine in usable and _layers(old) == _layers(new) else new
        for old, new in zip(before.hops, path.hops, strict=True)
    )
    return dataclasses.replace(path, hops=hops)


def plan_imports(
    kept: ReusableState | None, request: str, attempt: int, path: actions.Path
) -> tuple[actions.ImportState, ...]:
    """Returns the imports that spare the last stages their prefill.

    Only a run of stages up to the last one can be spared: a stage that needs
    a prefill needs the activations of all stages before it.
    """
    if kept is None:
        return ()
    sources = {_layers(h): h.engine for h in kept.hops}
    wanted: list[actions.ImportState] = []
    for hop in reversed(path.hops[1:]):
        source = sources.get(_layers(hop))
        if source is None:
            break
        if source != hop.engine and kept.position < TRANSFER_MIN_TOKENS:
            break
        wanted.append(
            actions.ImportState(
                source,
                hop.engine,
                request,
                kept.attempt,
                attempt,
                kept.position,
            )
        )
    return tuple(wanted)


def _layers(hop: actions.Hop) -> tuple[int, int]:
    return (hop.first_layer, hop.last_layer)
