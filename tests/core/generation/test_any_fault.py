"""Tests answers under faults at any point, with simulated engines."""

from __future__ import annotations

import copy
import dataclasses
import functools
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from yuccatally.core.generation import actions
from yuccatally.core.generation import generation
from yuccatally.core.requests import outcomes
from yuccatally.core.stages import link
from yuccatally.core.stages import messages
from yuccatally_standins import reference

if TYPE_CHECKING:
    from collections.abc import Iterable

MODEL, VERSION, LAYERS = "m", "v1", 6
STAGES = ((0, 2), (2, 5), (5, 6))
ENGINES = {f"{s}{r}": STAGES[s] for s in range(3) for r in "ab"}
TICK_S = 0.05
SETTLE_TICKS = 600
ENGINE_FAULTS = (
    "disconnect",
    "frozen",
    "drops_input",
    "drops_output",
    "refusing",
    "holds_output",
    "reorder",
)
RESULT_FAULTS = ("lose", "double", "shift", "alien", "lengthen", "cross")
CALLER_FAULTS = ("slow", "slow", "imports", "gone")


class Engine:
    """A simulated engine and the two directions of its connection.

    Attributes:
        applied: Request, attempt, position and layer of all applied work.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.states: dict[tuple[str, int], reference.LayerState] = {}
        self.applied: set[tuple[str, int, int, int]] = set()
        self.steps = 0
        self.frozen = False
        self.drops_input = False
        self.drops_output = False
        self.refusing = False
        self.holds_output = False
        self.connect(0.0)

    def connect(self, now: float) -> None:
        self.link = link.StageLink(self.name, now)
        self.inbox: list[messages.ToEngine] = []
        self.outbox: list[messages.FromEngine] = []
        self.states.clear()
        self.drops_input = self.drops_output = False

    def handle_next(self) -> None:
        """Handles the oldest message, or only heartbeats while frozen."""
        pings = [m for m in self.inbox if isinstance(m, messages.Ping)]
        if self.drops_input or not self.inbox or (self.frozen and not pings):
            return
        message = pings[0] if self.frozen else self.inbox[0]
        self.inbox.remove(message)
        match message:
            case messages.Step():
                self.answer(messages.StepResult(message.frame, [], []), message)
            case messages.Cancel():
                self.states.pop((message.request, message.attempt), None)
            case messages.Ping():
                queued = sum(isinstance(m, messages.Step) for m in self.inbox)
                load = messages.LoadReport(queued, 0, steps=self.steps)
                self.send(messages.Pong(message.nonce, load))

    def answer(self, result: messages.StepResult, step: messages.Step) -> None:
        self.steps += 1
        for item in step.items:
            key = (item.request, item.attempt)
            state = self.states.get(key)
            position = state.position if state else 0
            if self.refusing or item.position != position:
                result.refusals.append(
                    messages.StepRefusal(*key, item.position, "refused")
                )
                continue
            state = self.states.setdefault(
                key,
                reference.LayerState.empty(item.first_layer, item.last_layer),
            )
            self.record_applied(item, key)
            seed = reference.seed_of(MODEL, VERSION)
            values = state.apply(seed, item.values)
            if item.final:
                values = [reference.decode_token(values[-1])]
            result.outputs.append(
                messages.StepOutput(*key, item.position, values)
            )
        self.refusing = False
        self.send(result)

    def record_applied(
        self, item: messages.StepItem, key: tuple[str, int]
    ) -> None:
        for position in range(item.position, item.position + len(item.values)):
            for layer in range(item.first_layer, item.last_layer):
                step = (*key, position, layer)
                assert step not in self.applied, "a layer was applied twice"
                self.applied.add(step)

    def results(self) -> list[messages.StepResult]:
        return [m for m in self.outbox if isinstance(m, messages.StepResult)]

    def send(self, message: messages.FromEngine) -> None:
        if not self.drops_output:
            self.outbox.append(message)


@dataclasses.dataclass
class Caller:
    """State and received tokens of one caller."""

    machine: generation.Generation
    emitted: list[int] = dataclasses.field(default_factory=list)
    unconsumed_count: int = 0
    sent: bool = False
    slow: bool = False
    ended: actions.Finished | actions.Failed | None = None
    excluded: frozenset[str] | None = frozenset()
    not_before: float = 0.0


class AnyFault(stateful.RuleBasedStateMachine):
    """Guards against lost, repeated, swapped or wrong tokens of an answer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.engines = {name: Engine(name) for name in ENGINES}
        self.callers: dict[str, Caller] = {}
        self.imports: list[actions.ImportState] = []
        self.imports_succeed = True
        self.imported_count = 0

    @stateful.initialize()
    def begin(self) -> None:
        for size in (3, 40, 300):
            self.submit_request(size)

    @stateful.rule(size=st.integers(1, 400))
    def submit_request(self, size: int) -> None:
        if sum(c.ended is None for c in self.callers.values()) > 3:
            return
        request = f"r{len(self.callers)}"
        prompt = tuple((size * 7 + i) % 251 + 1 for i in range(size))
        job = actions.Job(request, MODEL, VERSION, prompt, 40, 0, size % 3, 1e9)
        self.callers[request] = Caller(
            generation.Generation(job, window_tokens=4)
        )
        self.choose_paths()

    @stateful.rule(
        rounds=st.integers(0, 5),
        reach=st.sampled_from(("queued", "sent", "done", "answered")),
        pick=st.integers(0, 5),
        fault=st.sampled_from((*ENGINE_FAULTS, *RESULT_FAULTS)),
    )
    def inject_fault(
        self, rounds: int, reach: str, pick: int, fault: str
    ) -> None:
        """Injects a fault before, during or after a step."""
        self.run(rounds)
        if reach != "queued" or fault in RESULT_FAULTS:
            for engine in self.engines.values():
                self.send_frames(engine)
                if reach != "sent" or fault in RESULT_FAULTS:
                    engine.handle_next()
        if fault in RESULT_FAULTS:
            busy = [e for e in self.engines.values() if e.results()]
        else:
            busy = [
                e
                for e in self.engines.values()
                if e.states or e.link.outstanding or e.holds_output or e.frozen
            ]
        if not busy:
            return
        target = busy[pick % len(busy)]
        if reach == "answered" and fault not in RESULT_FAULTS:
            self.receive(target, 0)
        self.apply(target, fault)

    @stateful.rule(pick=st.integers(0, 9), kind=st.sampled_from(CALLER_FAULTS))
    def change_caller(self, pick: int, kind: str) -> None:
        """Makes a caller pause or resume reading, or disconnect."""
        caller = self.callers[f"r{pick % len(self.callers)}"]
        if kind == "slow":
            caller.slow = not caller.slow
        elif kind == "imports":
            self.imports_succeed = not self.imports_succeed
        elif pick < 2 and caller.ended is None:
            refusal = caller.machine.refusal(
                outcomes.Reason.CALLER_GONE, "gone"
            )
            self.perform(caller, caller.machine.abandon(refusal))

    @stateful.rule(ticks=st.integers(1, 30))
    def wait(self, ticks: int) -> None:
        for _ in range(ticks):
            self.tick()
            self.run(1)

    def apply(self, engine: Engine, fault: str) -> None:
        if fault == "disconnect":
            self.disconnect(engine.name)
        elif fault == "reorder":
            self.receive(engine, -1)
        elif fault in RESULT_FAULTS:
            message = engine.results()[0]
            index = engine.outbox.index(message)
            engine.outbox[index : index + 1] = alter_result(message, fault)
        else:
            setattr(engine, fault, not getattr(engine, fault))

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            for engine in self.engines.values():
                self.send_frames(engine)
                engine.handle_next()
                if not engine.holds_output:
                    self.receive(engine, 0)
            self.finish_import()
            for caller in self.callers.values():
                if not caller.slow:
                    self.read(caller)

    def disconnect(self, name: str) -> None:
        self.engines[name].connect(self.now)
        for caller in list(self.callers.values()):
            self.perform(caller, caller.machine.on_failure(name))
        self.choose_paths()

    def finish_import(self) -> None:
        if not self.imports:
            return
        pending = self.imports.pop(0)
        source = self.engines[pending.source].states.get(
            (pending.request, pending.source_attempt)
        )
        correct = source is not None and source.position == pending.position
        self.imported_count += correct
        if correct and self.imports_succeed:
            target = self.engines[pending.target].states
            target[(pending.request, pending.attempt)] = copy.deepcopy(source)
        caller = self.callers[pending.request]
        result_actions = caller.machine.on_imported(
            pending, correct and self.imports_succeed
        )
        self.perform(caller, result_actions)
        self.choose_paths()

    def read(self, caller: Caller) -> None:
        while caller.unconsumed_count:
            caller.unconsumed_count -= 1
            self.perform(caller, caller.machine.on_consumed())
        self.choose_paths()

    @stateful.invariant()
    def tokens_are_right_so_far(self) -> None:
        for caller in self.callers.values():
            job = caller.machine.job
            correct = expected_answer(job)
            assert caller.emitted == correct[: len(caller.emitted)]
            assert caller.unconsumed_count <= caller.machine.window_tokens
            if isinstance(caller.ended, actions.Finished):
                assert caller.emitted == correct
            if isinstance(caller.ended, actions.Failed):
                not_run = caller.ended.refusal.outcome == "not-run"
                assert not_run is not caller.sent

    def teardown(self) -> None:
        for engine in self.engines.values():
            engine.frozen = engine.refusing = engine.holds_output = False
        self.imports_succeed = True
        for caller in self.callers.values():
            caller.slow = False
        for _ in range(SETTLE_TICKS):
            self.tick()
            self.run(4)
            if all(c.ended for c in self.callers.values()) and not any(
                e.inbox or e.link.frames or self.imports
                for e in self.engines.values()
            ):
                break
        for caller in self.callers.values():
            assert caller.ended is not None, "an answer was lost"
            if isinstance(caller.ended, actions.Failed):
                reason = caller.ended.refusal.reason
                limit = generation.MAX_ATTEMPTS_WITHOUT_TOKEN
                assert (
                    reason == outcomes.Reason.CALLER_GONE
                    or caller.machine.attempts_without_token >= limit
                )
        leaked = {n: e.states for n, e in self.engines.items() if e.states}
        assert not leaked
        self.tokens_are_right_so_far()

    def tick(self) -> None:
        self.now += TICK_S
        for name, engine in self.engines.items():
            match engine.link.on_tick(self.now):
                case link.Failure():
                    self.disconnect(name)
                case messages.Ping() as ping:
                    engine.inbox.append(ping)
        self.choose_paths()

    def choose_paths(self) -> None:
        for caller in self.callers.values():
            excluded = caller.excluded
            if excluded is None or caller.not_before > self.now or caller.ended:
                continue
            names = [n for n in sorted(ENGINES) if n not in excluded]
            hops = []
            for layers in STAGES:
                holders = [n for n in names if ENGINES[n] == layers]
                hops.append(actions.Hop(holders[0], *layers))
            path = actions.Path("p", MODEL, VERSION, tuple(hops))
            caller.excluded = None
            path = caller.machine.prefer_previous_engines(path, set(names))
            self.perform(caller, caller.machine.start(path))

    def send_frames(self, engine: Engine) -> None:
        while (step := engine.link.next_frame(self.now)) is not None:
            engine.inbox.append(step)
            for item in step.items:
                caller = self.callers[item.request]
                caller.sent = True
                caller.machine.on_sent(item.attempt)

    def receive(self, engine: Engine, index: int) -> None:
        if not engine.outbox:
            return
        message = engine.outbox.pop(index)
        if isinstance(message, messages.Pong):
            engine.link.on_pong(message, self.now)
            return
        for match in engine.link.on_result(message, self.now):
            caller = self.callers[match.item.request]
            machine = caller.machine
            if machine.stage_of(match.item) is None:
                self.cancel(engine, match.item.request, match.item.attempt)
                continue
            assert match.item.attempt == machine.attempt
            if isinstance(match.result, messages.StepOutput):
                result_actions = machine.on_output(match.item, match.result)
                self.perform(caller, result_actions)
            else:
                result_actions = machine.on_refusal(match.item, match.result)
                self.perform(caller, result_actions)
        self.choose_paths()

    def cancel(self, engine: Engine, request: str, attempt: int) -> None:
        engine.link.withdraw(request, attempt)
        engine.inbox.append(messages.Cancel(request, attempt))

    def perform(
        self, caller: Caller, pending: Iterable[actions.Action]
    ) -> None:
        for action in pending:
            match action:
                case actions.SubmitStep(engine=name, item=item):
                    assert caller.ended is None
                    self.engines[name].link.submit(item)
                case actions.ReleaseAttempt(engine=name):
                    self.cancel(
                        self.engines[name], action.request, action.attempt
                    )
                case actions.ImportState():
                    self.imports.append(action)
                case actions.NeedPath():
                    caller.excluded = action.excluded
                    caller.not_before = self.now + action.delay_s
                case actions.EmitToken(token=token):
                    caller.emitted.append(token)
                    caller.unconsumed_count += 1
                case actions.Finished() | actions.Failed():
                    assert caller.ended is None, "ended twice"
                    caller.ended = action


@functools.cache
def expected_answer(job: actions.Job) -> list[int]:
    return reference.expected_tokens(
        MODEL, VERSION, LAYERS, list(job.prompt), job.max_tokens
    )


def alter_result(
    result: messages.StepResult, fault: str
) -> list[messages.FromEngine]:
    """Returns the messages that arrive in place of a result."""
    replace = msgspec.structs.replace
    if fault == "double":
        return [result, result]
    if fault == "cross":
        return [replace(result, frame=result.frame + 1)]
    if not result.outputs:
        return [result]
    first, *rest = result.outputs
    if fault == "lose":
        return [replace(result, outputs=rest)]
    changed = {
        "shift": replace(first, position=first.position + 1),
        "alien": replace(first, attempt=first.attempt - 1),
        "lengthen": replace(first, values=[*first.values, 7]),
    }[fault]
    return [replace(result, outputs=[changed, *rest])]


TestAnyFault = AnyFault.TestCase
TestAnyFault.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None
)
