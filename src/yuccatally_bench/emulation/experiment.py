"""Description of an experiment, read from a TOML file."""

from __future__ import annotations

import dataclasses
import enum
import tomllib
from typing import TYPE_CHECKING
from typing import Any

from yuccatally.core.forwarding import rules

if TYPE_CHECKING:
    import pathlib


class ExperimentError(Exception):
    """An invalid experiment description; the text names the field."""


class FaultKind(enum.Enum):
    """Kind of an engine fault."""

    # Stops answering at once, restarts later without its layers.
    CRASH = "crash"
    # Stops answering at once and never restarts.
    LOSS = "loss"
    # Each step takes longer.
    SLOW = "slow"


@dataclasses.dataclass(frozen=True)
class EngineGroup:
    """Engines of one kind in one data centre."""

    data_centre: str
    card: str
    count: int


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A kind of request.

    Attributes:
        name: Name.
        per_s: Requests per second at a load factor of 1.
        prompt_tokens: Mean length of a prompt.
        answer_tokens: Mean length of an answer.
        spread: Standard deviation of both, as a ratio of the mean.
        objective_s: Maximum time to the first event of an answer in time.
        pause_s: Maximum pause between events of an answer in time.
        deadline_s: Time after which the client gives up.
        rank: Priority rank; 0 is the most urgent.
    """

    name: str
    per_s: float
    prompt_tokens: float
    answer_tokens: float
    spread: float = 0.8
    objective_s: float = 0.5
    pause_s: float = 0.2
    deadline_s: float = 20.0
    rank: int = 1


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of some engines that have layers loaded.

    Attributes:
        at_s: Start, seconds after the first request.
        kind: Kind of fault.
        count: Number of affected engines.
        for_s: Duration in seconds.
        factor: Factor on the time of steps, for slow engines.
    """

    at_s: float
    kind: FaultKind
    count: int
    for_s: float = 4.0
    factor: float = 4.0


@dataclasses.dataclass(frozen=True)
class LoadPoint:
    """Factor on all request rates, effective from a time."""

    at_s: float
    factor: float


@dataclasses.dataclass(frozen=True)
class Experiment:
    """Instances, engines, requests and faults of an experiment.

    Attributes:
        name: Name in tables.
        instances: Number of instances by data centre.
        model: Execution characteristics of the model.
        engines: Groups of engines.
        classes: Kinds of requests.
        load: Load factors, by time.
        faults: Faults, by time.
        length_s: Time in which requests arrive.
        stall_s: Time after which streams on a failed engine are interrupted.
        retry_reserve: Retries that all instances may send in ten seconds, in
            addition to a fifth of the requests.
    """

    name: str
    instances: dict[str, int]
    model: rules.Model
    engines: tuple[EngineGroup, ...]
    classes: tuple[RequestClass, ...]
    load: tuple[LoadPoint, ...] = (LoadPoint(0.0, 1.0),)
    faults: tuple[Fault, ...] = ()
    length_s: float = 30.0
    stall_s: float = 2.0
    retry_reserve: float = 200.0

    @classmethod
    def from_config(cls, table: dict[str, Any]) -> Experiment:
        """Returns the experiment of a decoded TOML file.

        Raises:
            ExperimentError: A field is missing, unknown or of another type.
        """
        try:
            model = dict(table["model"])
            cards = {
                name: rules.Card(name=name, **card)
                for name, card in model.pop("cards").items()
            }
            return cls(
                name=str(table["name"]),
                instances={
                    str(k): int(v) for k, v in table["instances"].items()
                },
                model=rules.Model(cards=cards, **model),
                engines=tuple(EngineGroup(**g) for g in table["engines"]),
                classes=tuple(RequestClass(**c) for c in table["classes"]),
                load=tuple(
                    LoadPoint(**p)
                    for p in table.get("load", [{"at_s": 0.0, "factor": 1.0}])
                ),
                faults=tuple(
                    Fault(**{**f, "kind": FaultKind(f["kind"])})
                    for f in table.get("faults", [])
                ),
                length_s=float(table.get("length_s", 30.0)),
                stall_s=float(table.get("stall_s", 2.0)),
                retry_reserve=float(table.get("retry_reserve", 200.0)),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ExperimentError(f"{type(error).__name__}: {error}") from error

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Experiment:
        """Returns the experiment of a TOML file.

        Raises:
            ExperimentError: The file is unreadable or not a valid experiment.
        """
        try:
            return cls.from_config(tomllib.loads(path.read_text()))
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise ExperimentError(f"{path}: {error}") from error

    def load_factor(self, at_s: float) -> float:
        """Returns the factor on request rates at a time."""
        current_factor = 1.0
        for point in self.load:
            if point.at_s <= at_s:
                current_factor = point.factor
        return current_factor

    def scale_load(self, factor: float) -> Experiment:
        """Returns the experiment with its load multiplied by a factor."""
        load = tuple(LoadPoint(p.at_s, p.factor * factor) for p in self.load)
        return dataclasses.replace(self, load=load)
