"""Estimates of admitted work per second and of service times."""

from __future__ import annotations

import dataclasses

# Factors of the exponential averages: the largest admitted work decays over
# about 20 requests, service times are averaged over about 10.
MAX_WORK_DECAY_RATIO = 0.05
SERVICE_TIME_SMOOTHING_RATIO = 0.1
# The average alone underestimates the service time of half of all requests.
SERVICE_TIME_MARGIN_FACTOR = 1.15
SERVICE_TIME_HALF_LIFE_S = 5.0
RATE_WINDOW_S = 0.5
RATE_SMOOTHING_RATIO = 0.3


class Throughput:
    """Admitted work per second and service times of one queue.

    Attributes:
        work_per_s: Estimated rate; 0 before the first window has ended.
    """

    def __init__(self) -> None:
        self.work_per_s = 0.0
        self.window_work = 0.0
        self.window_started: float | None = None
        self.window_waited = False
        self.service_times: dict[int, ServiceTime] = {}
        self.max_work = 0.0

    def record_admission(self, work: float, now: float, waiting: bool) -> None:
        """Records admitted work, and whether requests still wait."""
        self.advance(now, waiting)
        self.window_work += work
        self.max_work = max(work, self.max_work * (1 - MAX_WORK_DECAY_RATIO))

    def record_service(
        self, urgency: int, work: float, seconds: float, now: float
    ) -> None:
        """Records the service time of a request."""
        service_time = self.service_times.setdefault(urgency, ServiceTime())
        service_time.record(seconds / work, now)

    def service_s(self, urgency: int, work: float, now: float) -> float:
        """Returns the expected service time of a request in seconds."""
        service_time = self.service_times.get(urgency)
        return (
            SERVICE_TIME_MARGIN_FACTOR * work * service_time.decayed_s(now)
            if service_time
            else 0.0
        )

    def longest_s(self, urgency: int, now: float) -> float:
        """Returns the service time of the largest recent request."""
        return self.service_s(urgency, self.max_work, now)

    def drain_s(self, work: float, now: float) -> float:
        """Returns the time to admit work; 0 if no rate is known."""
        self.advance(now, waiting=True)
        return work / self.work_per_s if self.work_per_s else 0.0

    def advance(self, now: float, waiting: bool) -> None:
        """Ends the current window if it is over."""
        if self.window_started is None:
            self.window_started = now
            self.window_waited = waiting
        seconds = now - self.window_started
        if seconds < RATE_WINDOW_S:
            return
        work_per_s = self.window_work / seconds
        # Without a queue, this is the rate at which requests arrive, which is
        # only a lower bound of what the engines can process.
        if work_per_s > self.work_per_s or (
            self.window_waited and waiting and seconds < 4 * RATE_WINDOW_S
        ):
            weight = RATE_SMOOTHING_RATIO if self.work_per_s else 1.0
            self.work_per_s += weight * (work_per_s - self.work_per_s)
        self.window_work = 0.0
        self.window_started = now
        self.window_waited = waiting


@dataclasses.dataclass
class ServiceTime:
    """Service time for each unit of work of one class.

    The estimate decays without new samples. Otherwise, after a slow phase in
    which every request was refused as too late, no request would run that
    could show that the phase is over.
    """

    unit_s: float = 0.0
    measured_at: float = 0.0

    def record(self, unit_s: float, now: float) -> None:
        """Adds a sample to the moving average."""
        previous_s = self.decayed_s(now)
        weight = SERVICE_TIME_SMOOTHING_RATIO if previous_s else 1.0
        self.unit_s = previous_s + weight * (unit_s - previous_s)
        self.measured_at = now

    def decayed_s(self, now: float) -> float:
        """Returns the current estimate in seconds."""
        age_s = max(0.0, now - self.measured_at)
        return self.unit_s * 0.5 ** (age_s / SERVICE_TIME_HALF_LIFE_S)
