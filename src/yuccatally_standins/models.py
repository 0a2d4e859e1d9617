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
