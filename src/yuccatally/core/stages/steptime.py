"""Estimate of an engine's step time for a given amount of work."""

from __future__ import annotations

# Weight of past steps against the newest one; about 30 steps count.
DECAY = 0.97
FACTOR = 5.0
DEVIATIONS = 4.0
# Pauses of an event loop under load reach 0.1 s.
SLACK_LOWEST_S = 0.2
# A frozen stage may cost 1 s more than its step time; 0.3 s of that is left
# for the tick, the choice of a route and scheduling.
SLACK_HIGHEST_S = 0.7
# Allows for a first step while nothing is known of the engine.
UNKNOWN_S = 0.5


class StepTime:
    """Decayed linear regression of step time on work.

    Work is the number of values times the number of layers of a frame.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self.work = 0.0
        self.seconds = 0.0
        self.work_squared = 0.0
        self.product = 0.0
        self.deviation = 0.0

    def observe(self, work: float, seconds: float) -> None:
        """Adds the turnaround of one frame, in seconds."""
        if self.weight:
            error = abs(seconds - self.expected(work))
            self.deviation += (1 - DECAY) * (error - self.deviation)
        self.weight = self.weight * DECAY + 1
        self.work = self.work * DECAY + work
        self.seconds = self.seconds * DECAY + seconds
        self.work_squared = self.work_squared * DECAY + work * work
        self.product = self.product * DECAY + work * seconds

    @property
    def rate(self) -> float:
        """Seconds for one more unit of work; 0 if nothing is known."""
        if not self.weight or not self.work:
            return 0.0
        mean = self.work / self.weight
        variance = self.work_squared / self.weight - mean * mean
        covariance = (
            self.product / self.weight - mean * self.seconds / self.weight
        )
        if variance > 0.01 * mean * mean:
            return max(0.0, covariance / variance)
        # All frames were alike: charging everything to the work overestimates
        # long frames, which delays detection but gives no false alarm.
        return self.seconds / self.work

    def expected(self, work: float) -> float:
        """Returns the expected turnaround, in seconds."""
        if not self.weight:
            return UNKNOWN_S
        mean_work = self.work / self.weight
        mean = self.seconds / self.weight
        return max(0.0, mean + self.rate * (work - mean_work))

    def bound(self, work: float) -> float:
        """Returns the time without progress that means a stall, in seconds."""
        expected = self.expected(work)
        slack = FACTOR * expected + DEVIATIONS * self.deviation
        return expected + min(max(slack, SLACK_LOWEST_S), SLACK_HIGHEST_S)
