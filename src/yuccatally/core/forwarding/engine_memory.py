"""Memory and speed of engines, by the type of their accelerator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams


def layer_capacity(
    model: rules.Model, engine: upstreams.Upstream, tokens: float
) -> int:
    """Returns the layers that fit in addition to a number of tokens."""
    card = model.cards[engine.card]
    per_layer_mb = model.layer_mb + tokens * model.token_layer_bytes / 1e6
    return min(model.max_layers(card), int(card.memory_mb // per_layer_mb))


def slowness(
    model: rules.Model, engine: upstreams.Upstream
) -> tuple[float, str]:
    """Returns a key that sorts engines from the fastest to the slowest."""
    card = model.cards.get(engine.card)
    if card is None:
        return (0.0, engine.name)
    return (card.step_factor + card.read_factor, engine.name)
