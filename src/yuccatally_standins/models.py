"""Parameters of the engines in production, for tests of decisions."""

from __future__ import annotations

from yuccatally.core.forwarding import rules

_CARDS = {
    "large": rules.Card("large", 36_000.0, 3.1, 3.2),
    "medium": rules.Card("medium", 21_600.0, 16.0, 8.2),
    "small": rules.Card("small", 14_400.0, 15.0, 15.0),
}
DEPLOYED_MODEL = rules.Model(
    slots=96,
    layers=80,
    layer_mb=1750.0,
    load_s=14.0,
    loads_at_once=6,
    token_layer_bytes=10_650.0,
    step_s=0.00085,
    step_sequence_s=5.5e-6,
    step_context_s=7.4e-6,
    read_tokens_per_s=272_000.0,
    activation_bytes=42_600.0,
    link_mbps=480_000.0,
    pipe_mbps=6_500.0,
    prompt_tokens=772.0,
    answer_tokens=150.0,
    cards=_CARDS,
)
_MIXED_CARDS = {
    "a100": rules.Card("a100", 72_000.0, 2.4, 3.2),
    "v100": rules.Card("v100", 14_400.0, 5.3, 7.9),
    "l4": rules.Card("l4", 21_600.0, 16.0, 8.2),
}
MIXED_MODEL = rules.Model(
    slots=96,
    layers=80,
    layer_mb=1750.0,
    load_s=14.0,
    loads_at_once=15,
    token_layer_bytes=12_300.0,
    step_s=0.00102,
    step_sequence_s=7.64e-6,
    step_context_s=1.024e-5,
    read_tokens_per_s=196_000.0,
    activation_bytes=49_200.0,
    link_mbps=400_000.0,
    pipe_mbps=9_600.0,
    prompt_tokens=774.0,
    answer_tokens=209.0,
    cards=_MIXED_CARDS,
)
# Number of cards of each type in each data centre.
MIXED_DATA_CENTRES = {"a": (3, 14, 16), "b": (2, 24, 9), "c": (4, 10, 11)}
