"""Expected answer length by client account."""

from __future__ import annotations

import collections
import dataclasses

# Weight of the newest answer in the running mean.
MIN_SAMPLE_WEIGHT = 0.1
# Until an account has this many answers, its token limit is weighted in.
FULL_CONFIDENCE_COUNT = 8
MAX_ACCOUNTS_COUNT = 4096


@dataclasses.dataclass
class _AnswerStats:
    count: int = 0
    mean_ratio: float = 1.0


class DemandEstimator:
    """Estimates how much of their token limit client accounts use.

    The running mean is kept for each account and model, since a fixed unit
    would count a request of a few tokens as much as one of thousands.

    Attributes:
        measured: Whether recorded answers are used; otherwise each request
            counts as its token limit.
    """

    def __init__(self, measured: bool = True) -> None:
        self.measured = measured
        self.stats: collections.OrderedDict[tuple[str, str], _AnswerStats] = (
            collections.OrderedDict()
        )

    def expected(self, account: str, model: str, max_tokens: int) -> float:
        """Returns the expected number of tokens of an answer."""
        stats = self.stats.get((account, model))
        if stats is None or not self.measured:
            return float(max_tokens)
        confidence = min(1.0, stats.count / FULL_CONFIDENCE_COUNT)
        ratio = confidence * stats.mean_ratio + (1 - confidence)
        return max(1.0, max_tokens * ratio)

    def record(
        self, account: str, model: str, max_tokens: int, tokens: int
    ) -> None:
        """Records the length of a complete answer."""
        key = (account, model)
        stats = self.stats.setdefault(key, _AnswerStats())
        self.stats.move_to_end(key)
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (stats.count + 1))
        ratio = tokens / max(1, max_tokens)
        stats.mean_ratio += weight * (ratio - stats.mean_ratio)
        stats.count += 1
        if len(self.stats) > MAX_ACCOUNTS_COUNT:
            self.stats.popitem(last=False)
