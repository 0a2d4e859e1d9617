"""Plans pipelines by the room that they have together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import plan_draft
from yuccatally.core.forwarding import relief
from yuccatally.core.forwarding import replication

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams


def plan(
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    previous: pipelines.Plan,
    fence: int = 0,
) -> pipelines.Plan:
    """Returns the plan for the usable engines.

    Load pattern: at peak load one engine of each pipeline of a data centre
    fails at once. Repaired one by one, each pipeline keeps a stage with memory
    for a handful of requests. Instead, the broken pipelines of a data centre
    are planned together: some give their engines to the others and are built
    again from what remains, whichever leaves the most room. Pipelines that are
    whole keep their stages; those with too little room are relieved by spare
    engines before new pipelines are built.

    Args:
        model: Properties of the model.
        engines: Usable engines, with the layers that they are known to hold.
        previous: Plan in force.
        fence: Fencing number of the control lease.

    Returns:
        The previous plan if no change is necessary.
    """
    draft = plan_draft.Draft.from_plan(model, engines, previous)
    for data_centre, broken in draft.take_broken(previous).items():
        draft = _best_repair(draft, data_centre, broken)
    relieving = relief.relieve(
        model, draft.usable, draft.spares, draft.stages, draft.replicas
    )
    draft.apply(relieving)
    has_grown = draft.build_next()
    planned = draft.planned()
    replicas = tuple(
        sorted(
            (s for n, s in draft.replicas.items() if n in draft.spares),
            key=lambda s: s.engine,
        )
    )
    if not has_grown:
        replicas = replication.replicate(
            model, draft.usable, draft.spares, replicas, planned
        )
    if (planned, replicas) == (previous.pipelines, previous.replicas):
        return previous
    return pipelines.Plan(
        previous.generation + 1, planned, max(fence, previous.fence), replicas
    )


def _best_repair(
    draft: plan_draft.Draft,
    data_centre: str,
    broken: Sequence[pipelines.Pipeline],
) -> plan_draft.Draft:
    """Repairs the broken pipelines of a data centre together.

    The pipelines that miss the most layers give their engines to the others
    and are built again from the remaining ones. How many do so is decided by
    the total room.
    """
    ordered = sorted(
        broken,
        key=lambda p: (
            -sum(s.last - s.first for s in draft.kept(p)),
            p.name,
        ),
    )
    drafts = []
    for kept_count in range(len(ordered), -1, -1):
        trial = draft.copy()
        for pipeline in ordered[kept_count:]:
            trial.release(trial.kept(pipeline))
        for pipeline in ordered[:kept_count]:
            trial.repair(pipeline, data_centre)
        for pipeline in ordered:
            if pipeline.name not in trial.stages:
                trial.rebuild(pipeline.name, data_centre)
        drafts.append(trial)
    return max(drafts, key=plan_draft.Draft.room)
