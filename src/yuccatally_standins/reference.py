"""Deterministic reference model whose result depends on every layer."""

from __future__ import annotations

import dataclasses
import zlib

MASK = (1 << 61) - 1
PRINTABLE_COUNT = 95
FIRST_PRINTABLE = 32
END_TOKEN = 0
END_MODULUS = 509


def seed_of(model: str, version: str) -> int:
    """Returns a seed that represents the weights of a model version."""
    return zlib.crc32(f"{model}@{version}".encode())


def mix(left: int, right: int) -> int:
    """Returns a hash of two numbers that depends on their order."""
    value = (left * 0x5851F42D4C957F2D + right + 0x14057B7EF767814F) & MASK
    return value ^ (value >> 27)


@dataclasses.dataclass
class LayerState:
    """KV state of one sequence over a range of layers.

    A layer that is skipped, applied twice or applied out of order gives
    another state, and so other tokens from that position on.

    Attributes:
        first_layer: First layer of the range.
        last_layer: Layer after the last one of the range.
        kv: State of each layer.
        position: Next position.
    """

    first_layer: int
    last_layer: int
    kv: list[int]
    position: int = 0

    @classmethod
    def empty(cls, first_layer: int, last_layer: int) -> LayerState:
        """Returns the state before the first token."""
        return cls(first_layer, last_layer, [0] * (last_layer - first_layer))

    def apply(self, seed: int, values: list[int]) -> list[int]:
        """Applies the layers to consecutive positions.

        Args:
            seed: Seed of the model version.
            values: Token ids or activations, one for each position.

        Returns:
            One activation for each position.
        """
        activations = []
        for value in values:
            current = value
            for index, layer in enumerate(
                range(self.first_layer, self.last_layer)
            ):
                self.kv[index] = mix(self.kv[index], current + layer)
                current = mix(current, self.kv[index] ^ (seed + layer))
            activations.append(current)
            self.position += 1
        return activations


def decode_token(activation: int) -> int:
    """Returns the token that an activation of the last layer encodes."""
    if activation % END_MODULUS == 0:
        return END_TOKEN
    return FIRST_PRINTABLE + activation % PRINTABLE_COUNT


def expected_tokens(
    model: str, version: str, layers: int, prompt: list[int], max_tokens: int
) -> list[int]:
    """Returns the tokens of the correct answer, without the end token."""
    state = LayerState.empty(0, layers)
    seed = seed_of(model, version)
    token = decode_token(state.apply(seed, prompt)[-1])
    tokens: list[int] = []
    while token != END_TOKEN and len(tokens) < max_tokens:
        tokens.append(token)
        token = decode_token(state.apply(seed, [token])[-1])
    return tokens


def expected_text(
    model: str, version: str, layers: int, prompt: str, max_tokens: int
) -> str:
    """Returns the correct answer as text."""
    ids = list(prompt.encode())
    return bytes(
        expected_tokens(model, version, layers, ids, max_tokens)
    ).decode()
