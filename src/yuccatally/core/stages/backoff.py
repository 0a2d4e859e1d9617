"""Delays between tries to connect."""

from __future__ import annotations

FIRST_S = 0.1
LAST_S = 2.0
# A connection that lasted this long was of use; the next delay is short again.
PROVEN_S = 5.0


class Backoff:
    """Exponential delays with jitter.

    The jitter spreads the reconnects of all instances to an engine that comes
    back, and of one instance to all engines behind a switch.
    """

    def __init__(
        self, first_s: float = FIRST_S, last_s: float = LAST_S
    ) -> None:
        self.first_s = first_s
        self.last_s = last_s
        self.failures = 0

    def on_closed(self, lasted_s: float) -> None:
        """Records the end of a connection; 0 seconds if it never opened."""
        if lasted_s >= PROVEN_S:
            self.failures = 0
        self.failures += 1

    def delay(self, uniform: float) -> float:
        """Returns the next delay in seconds.

        Args:
            uniform: Random number from 0 to 1.

        >>> backoff = Backoff(first_s=1.0, last_s=3.0)
        >>> backoff.on_closed(0.0)
        >>> backoff.delay(0.0), backoff.delay(1.0)
        (0.5, 1.0)
        """
        grown = self.first_s * 2.0 ** min(self.failures - 1, 30)
        return min(grown, self.last_s) * (0.5 + 0.5 * uniform)
