"""Delays between connection attempts."""

from __future__ import annotations

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 2.0
# A connection that lasted this long counts as successful and resets the delay.
STABLE_CONNECTION_S = 5.0


class Backoff:
    """Exponential backoff with jitter.

    The jitter spreads the reconnects of all instances to an engine that
    restarts, and of one instance to all engines behind a switch.
    """

    def __init__(
        self, initial_s: float = INITIAL_DELAY_S, max_s: float = MAX_DELAY_S
    ) -> None:
        self.initial_s = initial_s
        self.max_s = max_s
        self.failures = 0

    def on_closed(self, duration_s: float) -> None:
        """Records the end of a connection.

        Args:
            duration_s: Duration of the connection, 0 if it never opened.
        """
        if duration_s >= STABLE_CONNECTION_S:
            self.failures = 0
        self.failures += 1

    def delay(self, uniform: float) -> float:
        """Returns the next delay in seconds.

        Args:
            uniform: Random number from 0 to 1.

        >>> backoff = Backoff(initial_s=1.0, max_s=3.0)
        >>> backoff.on_closed(0.0)
        >>> backoff.delay(0.0), backoff.delay(1.0)
        (0.5, 1.0)
        """
        delay_s = self.initial_s * 2.0 ** min(self.failures - 1, 30)
        return min(delay_s, self.max_s) * (0.5 + 0.5 * uniform)
