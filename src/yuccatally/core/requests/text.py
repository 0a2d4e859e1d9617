"""Conversion between text and token ids."""

from __future__ import annotations

import codecs


def encode(text: str) -> tuple[int, ...]:
    """Returns the token ids of a text: one for each byte of its UTF-8 form.

    >>> encode("ab")
    (97, 98)
    """
    return tuple(text.encode())


class Decoder:
    """Decodes a stream of token ids incrementally.

    The bytes of an incomplete character are buffered until it is complete.

    >>> decoder = Decoder()
    >>> [decoder.push(t) for t in (195, 164, 98)]
    ['', 'ä', 'b']
    """

    def __init__(self) -> None:
        self.decoder = codecs.getincrementaldecoder("utf-8")("replace")

    def push(self, token: int) -> str:
        """Returns the characters that a token completes."""
        return self.decoder.decode(bytes([token & 0xFF]))

    def finish(self) -> str:
        """Returns a replacement character if an incomplete one is buffered."""
        return self.decoder.decode(b"", final=True)
