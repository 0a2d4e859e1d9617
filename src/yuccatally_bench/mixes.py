"""Hardware mixes with declared rates and their throughput bound."""

from __future__ import annotations

import dataclasses

from yuccatally.core.placement import groups
from yuccatally.core.placement import planner
from yuccatally.core.placement import rates
from yuccatally_standins import site

SHAPE = rates.RequestShape(prefill=24, decode=16)
WORKLOAD = groups.ModelWorkload(site.LAYER_COUNT, SHAPE)
MAX_LAYER_COUNT = 8
MAX_BATCH_COUNT = 16
HALF_LAYERS = site.LAYER_COUNT // 2


@dataclasses.dataclass(frozen=True)
class Mix:
    """Engines and links of a deployment.

    Attributes:
        name: Name of the mix.
        engines: Declared rates; the first half serves the first layers when
            layers are split evenly.
        far_link: Rates of the link to engines in the data centre ``far``.
    """

    name: str
    engines: tuple[rates.EngineRates, ...]
    far_link: rates.LinkRates = rates.LOCAL_LINK

    @property
    def links(self) -> rates.Links:
        """Links as seen by the instances, which relay activations.

        A stand-in delays what it sends, so the source of a transfer
        determines its link.
        """
        pairs = {("far", "near"): self.far_link, ("far", "far"): self.far_link}
        return rates.Links(pairs)

    def plan(self) -> planner.Plan:
        """Returns the best plan."""
        return planner.plan(WORKLOAD, self.engines, self.links)

    def bound_requests_per_s(self) -> float:
        """Returns the rate of the slowest stages or links of the best plan."""
        return self.plan().requests_per_s


def _engine(
    name: str, base_ms: float, layer_us: float, data_centre: str = "near"
) -> rates.EngineRates:
    return rates.EngineRates(
        name,
        base_ms / 1e3,
        layer_us / 1e6,
        MAX_BATCH_COUNT,
        MAX_LAYER_COUNT,
        data_centre,
    )


MIXES = (
    Mix("uniform", tuple(_engine(n, 16, 100) for n in ("a", "b", "c", "d"))),
    Mix(
        "mixed",
        (
            _engine("fast-a", 4, 25),
            _engine("slow-a", 16, 100),
            _engine("fast-b", 4, 25),
            _engine("slow-b", 16, 100),
        ),
    ),
    Mix(
        "links",
        (
            _engine("near-a", 16, 100),
            _engine("far-a", 16, 100, "far"),
            _engine("near-b", 16, 100),
            _engine("far-b", 16, 100, "far"),
        ),
        rates.LinkRates(delay_s=0.02, token_s=0.0015),
    ),
)


def deployment_plan(
    mix: Mix,
    planned: bool,
    instances: int,
    settings: str,
    accounts: dict[str, dict[str, object]],
) -> site.SiteSpec:
    """Returns the processes that emulate a mix.

    Args:
        mix: Engines and links.
        planned: Whether the planner forms the pipelines; otherwise the layers
            are split evenly and the engines of each half are replicas.
        instances: Number of instances.
        settings: Text appended to the settings of the instances.
        accounts: Client accounts by name.
    """
    if planned:
        ranges = {
            s.engine: (s.first_layer, s.last_layer)
            for p in mix.plan().pipelines
            for s in p.stages
        }
        pipelines = {
            f"planned-{p.number}": tuple(
                (f"name={s.engine}", s.first_layer, s.last_layer)
                for s in p.stages
            )
            for p in mix.plan().pipelines
        }
    else:
        half = len(mix.engines) // 2
        ranges = {
            e.name: (0, HALF_LAYERS)
            if i < half
            else (HALF_LAYERS, site.LAYER_COUNT)
            for i, e in enumerate(mix.engines)
        }
        pipelines = {
            "even": (
                ("part=front", 0, HALF_LAYERS),
                ("part=back", HALF_LAYERS, site.LAYER_COUNT),
            )
        }
    engines = tuple(
        _engine_plan(mix, engine, ranges[engine.name])
        for engine in mix.engines
        if engine.name in ranges
    )
    return site.SiteSpec(instances, engines, pipelines, settings, accounts)


def _engine_plan(
    mix: Mix, engine: rates.EngineRates, layers: tuple[int, int]
) -> site.EngineSpec:
    link = mix.far_link if engine.data_centre == "far" else rates.LOCAL_LINK
    return site.EngineSpec(
        engine.name,
        *layers,
        engine.step_base_s * 1e3,
        {"part": "front" if layers[0] == 0 else "back"},
        engine.data_centre,
        arguments=(
            "--token-layer-us",
            str(engine.token_layer_s * 1e6),
            "--max-batch",
            str(engine.batch),
            "--link-ms",
            str(link.delay_s * 1e3),
            "--link-value-us",
            str(link.token_s * 1e6),
        ),
        rates={
            "step_base_ms": engine.step_base_s * 1e3,
            "token_layer_us": engine.token_layer_s * 1e6,
            "batch": engine.batch,
            "max_layers": engine.max_layers,
        },
    )
