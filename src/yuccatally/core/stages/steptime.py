"""Estimates an engine's step time for a given amount of work."""

from __future__ import annotations

# Weight of past steps relative to the newest; about 30 steps contribute.
DECAY_FACTOR = 0.97
EXPECTED_FACTOR = 5.0
DEVIATION_FACTOR = 4.0
# Pauses of an event loop under load reach 0.1 s.
SLACK_LOWEST_S = 0.2
# A frozen stage may delay an answer by 1 s more than its step time; 0.3 s of
# that is reserved for the tick, the choice of a path and scheduling.
SLACK_HIGHEST_S = 0.7
# Expected time of the first step, before any step was recorded.
FIRST_STEP_S = 0.5


class StepTime:
    """Decayed linear regression of step time on work.

    Work is the number of values times the number of layers of a frame.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self.work = 0.0
        self.seconds = 0.0
        self.work_squared = 0.0
        self.work_seconds = 0.0
        self.deviation = 0.0

    def record(self, work: float, seconds: float) -> None:
        """Records the turnaround time of one frame, in seconds."""
        if self.weight:
            error = abs(seconds - self.expected(work))
            self.deviation += (1 - DECAY_FACTOR) * (error - self.deviation)
        self.weight = self.weight * DECAY_FACTOR + 1
        self.work = self.work * DECAY_FACTOR + work
        self.seconds = self.seconds * DECAY_FACTOR + seconds
        self.work_squared = self.work_squared * DECAY_FACTOR + work * work
        self.work_seconds = self.work_seconds * DECAY_FACTOR + work * seconds

    @property
    def unit_s(self) -> float:
        """Seconds per additional unit of work; 0 before the first frame."""
        if not self.weight or not self.work:
            return 0.0
        mean = self.work / self.weight
        variance = self.work_squared / self.weight - mean * mean
        covariance = (
            self.work_seconds / self.weight - mean * self.seconds / self.weight
        )
        if variance > 0.01 * mean * mean:
            return max(0.0, covariance / variance)
        # All frames had about the same work. Attributing the whole time to the
        # work overestimates long frames, which delays detection but causes no
        # false positives.
        return self.seconds / self.work

    def expected(self, work: float) -> float:
        """Returns the expected turnaround time, in seconds."""
        if not self.weight:
            return FIRST_STEP_S
        mean_work = self.work / self.weight
        mean = self.seconds / self.weight
        return max(0.0, mean + self.unit_s * (work - mean_work))

    def stall_timeout_s(self, work: float) -> float:
        """Returns the time without progress that counts as a stall."""
        expected = self.expected(work)
        slack = EXPECTED_FACTOR * expected + DEVIATION_FACTOR * self.deviation
        return expected + min(max(slack, SLACK_LOWEST_S), SLACK_HIGHEST_S)
