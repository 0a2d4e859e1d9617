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
    """Turns token ids into text as they come.

    A character whose bytes are not complete is held back.

    >>> decoder = Decoder()
    >>> [decoder.push(t) for t in (195, 164, 98)]
    ['', 'ä', 'b']
    """

    def __init__(self) -> None:
        self.decoder = codecs.getincrementaldecoder("utf-8")("replace")

    def push(self, token: int) -> str:
        """Returns the text that a token completes."""
        return self.decoder.decode(bytes([token & 0xFF]))

    def finish(self) -> str:
        """Returns a replacement character if bytes were left over."""
        return self.decoder.decode(b"", final=True)
