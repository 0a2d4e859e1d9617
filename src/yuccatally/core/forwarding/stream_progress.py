"""Detects paths whose streams are stalled."""

from __future__ import annotations

import dataclasses

# A path is stalled if no stream has had an event for this many mean event
# intervals. Its engines process all streams in one pass, so that events of all
# streams arrive together.
STALL_INTERVAL_FACTOR = 3.0
# Limits of that time. Below the minimum, a long prompt that is processed
# between two steps would count as a stall. Above the maximum, the pause that
# callers see would be too long.
MIN_STALL_S = 0.11
MAX_STALL_S = 0.4
# Minimum number of idle streams; a single stream may have been preempted.
MIN_STALLED_STREAM_COUNT = 2
# A path without any event for this long is stalled, even before the first one.
FIRST_EVENT_TIMEOUT_S = 0.5
# Weight of the latest interval in the moving average.
INTERVAL_WEIGHT_RATIO = 0.1


@dataclasses.dataclass
class StreamProgress:
    """Progress of the streams of this instance on a path.

    Attributes:
        last_event_at: Time of the last event of any stream, or of the first
            request after a period without requests.
        patience_s: Additional time to wait for an event, see ``Path``.
        event_interval_s: Moving average of the interval between two events of
            any stream.
        streams: Number of running streams that have had an event.
    """

    last_event_at: float
    patience_s: float = 0.0
    event_interval_s: float = MIN_STALL_S / STALL_INTERVAL_FACTOR
    streams: int = 0

    def record_event(self, now: float) -> None:
        """Records an event of any stream."""
        event_interval_s = now - self.last_event_at
        self.last_event_at = now
        if event_interval_s < MAX_STALL_S:
            self.event_interval_s += INTERVAL_WEIGHT_RATIO * (
                event_interval_s - self.event_interval_s
            )

    def is_stalled(self, now: float) -> bool:
        """Returns whether no event has arrived for too long."""
        idle_s = now - self.last_event_at - self.patience_s
        if self.streams < MIN_STALLED_STREAM_COUNT:
            return idle_s > FIRST_EVENT_TIMEOUT_S
        limit_s = max(
            STALL_INTERVAL_FACTOR * self.event_interval_s, MIN_STALL_S
        )
        return idle_s > min(limit_s, MAX_STALL_S)
