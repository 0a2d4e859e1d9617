"""Expected length of requests by client account."""

from __future__ import annotations

import collections
import dataclasses

# Weight of the newest answer in the running mean.
SMOOTHING = 0.1
# Until an account has this many answers, its token limit counts as well.
CONFIDENT_ANSWERS = 8
MAX_ACCOUNTS = 4096


@dataclasses.dataclass
class _Seen:
    answers: int = 0
    ratio: float = 1.0


class DemandEstimator:
    """Running mean of the part of their token limit that accounts use.

    The mean is kept for each account and model, since a fixed unit takes a
    request of a few tokens for as much work as one of thousands.

    Attributes:
        measured: Whether answers seen are used; otherwise each request
            counts as its token limit.
    """

    def __init__(self, measured: bool = True) -> None:
        self.measured = measured
        self.seen: collections.OrderedDict[tuple[str, str], _Seen] = (
            collections.OrderedDict()
        )

    def expected(self, account: str, model: str, max_tokens: int) -> float:
        """Returns how many tokens an answer will probably have."""
        seen = self.seen.get((account, model))
        if seen is None or not self.measured:
            return float(max_tokens)
        trust = min(1.0, seen.answers / CONFIDENT_ANSWERS)
        ratio = trust * seen.ratio + (1 - trust)
        return max(1.0, max_tokens * ratio)

    def record(
        self, account: str, model: str, max_tokens: int, tokens: int
    ) -> None:
        """Records the length of a whole answer."""
        key = (account, model)
        seen = self.seen.setdefault(key, _Seen())
        self.seen.move_to_end(key)
        weight = max(SMOOTHING, 1 / (seen.answers + 1))
        used = tokens / max(1, max_tokens)
        seen.ratio += weight * (used - seen.ratio)
        seen.answers += 1
        if len(self.seen) > MAX_ACCOUNTS:
            self.seen.popitem(last=False)
