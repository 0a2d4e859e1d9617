"""Forwarding of event streams, which resume on another path after a failure."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import runs
from yuccatally.forwarding import open_runs
from yuccatally.forwarding import retrying
from yuccatally.forwarding import stream_runs
from yuccatally.forwarding import upstream_responses
from yuccatally.forwarding import waiting

if TYPE_CHECKING:
    from yuccatally.forwarding import rate_limiting
    from yuccatally.forwarding import request_context
    from yuccatally.forwarding import state
    from yuccatally.upstreams import exchange


# A stream without an event for this long is also tried on another path. Clients
# disconnect after a pause of two seconds, and a new engine first prefills the
# prompt again.
SILENCE_TIMEOUT_S = 0.9
# Longest wait for capacity on a pipeline, as a ratio of the latency objective.
# A late refusal is of less use to a caller than an immediate one.
CAPACITY_WAIT_RATIO = 0.1
# Capacity becomes free when a response ends, about ten times a second.
CAPACITY_POLL_S = 0.02
# Delay before a stream resumes on the path on which it failed. The leader
# repairs the path or confirms that it works meanwhile.
SAME_PATH_DELAY_S = 0.2
# Longest pause in which a stream waits to resume; clients disconnect after 2 s.
RESUME_TIMEOUT_S = 1.5

_log = structlog.get_logger()


class StreamForwarder:
    """Forwards requests to pipelines and resumes interrupted streams.

    Attributes:
        running: Streams that have not ended.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        client: exchange.UpstreamClient,
        on_failure: retrying.OnFailure,
        rate_limiter: rate_limiting.RateLimiter,
    ) -> None:
        """Creates a forwarder.

        Args:
            instance_state: Shared state.
            client: HTTP client for the upstreams.
            on_failure: Called when an attempt has failed.
            rate_limiter: Reserves turns at upstreams that limit their rate.
        """
        self.state = instance_state
        self.client = client
        self.on_failure = on_failure
        self.rate_limiter = rate_limiter
        self.running: set[StreamRelay] = set()

    async def run(
        self,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
    ) -> None:
        """Forwards a request until its stream is complete or must end."""
        relay = StreamRelay(self.state, self.client, context, writer)
        self.running.add(relay)
        try:
            async with asyncio.timeout(context.remaining_s()):
                await retrying.forward(
                    self.state,
                    context,
                    writer,
                    relay.progress,
                    relay.reader,
                    relay.wait_for_path,
                    relay.attempt,
                    self.on_failure,
                    self.rate_limiter,
                )
        except TimeoutError:
            step = attempts.refuse_or_give_up(relay.progress)
            if relay.progress.run_count:
                step = attempts.GiveUp(504)
            await upstream_responses.end_request(writer, step, "deadline")
        finally:
            self.running.discard(relay)
            relay.room.release()
            relay.reader.close_all()

    def abandon(self, path: str) -> int:
        """Tries other paths for the streams on a path.

        Their runs on the path stay open. Streams that must not be sent again,
        because of their route or the retry budget, wait, since the path may
        recover.

        Returns:
            Number of streams that are tried on other paths.
        """
        movable = [
            (relay, run)
            for relay in self.running
            for run in relay.reader.open.runs
            if run.path.name == path
            and run.may_move
            and not run.is_silent
            and not run.is_moving
        ]
        if movable:
            service = movable[0][0].context.service.name
            remaining = self.state.retry_budget(service).remaining(
                time.monotonic(), self.state.instance_count
            )
            movable = movable[:remaining]
        for relay, run in movable:
            relay.reader.move(run)
        return len(movable)

    def withdraw(self, mark: str) -> None:
        """Ends the streams with a mark that have no event yet.

        Load pattern: repeats of a fatal request wait at several engines when
        it is found, each of which would end with its first event.
        """
        reason = retrying.quarantine_reason(mark)
        remaining_s = self.state.quarantine.remaining_s(mark, time.monotonic())
        self.state.waiting.withdraw(mark, reason, round(remaining_s, 1))
        for relay in self.running:
            if mark in relay.context.marks and not relay.writer.started:
                for run in relay.reader.open.runs:
                    relay.reader.withdraw(run, reason)

    def staying_runs(self, path: str) -> dict[str, stream_runs.StreamRun]:
        """Returns the runs on a path that no other path is tried for, by id."""
        return {
            relay.context.request.id: run
            for relay in self.running
            for run in relay.reader.open.runs
            if run.path.name == path and not run.is_moving
        }


class StreamRelay:
    """Relays the events of one stream, from whichever run goes on first.

    Attributes:
        progress: Counter of its attempts.
        reader: Reads its runs.
        room: Room that is held until the request is sent.
        sent_at: Monotonic time of the latest attempt, in seconds.
        last_id: Id of the last event that was sent to the client.
        forgets_tried: Whether paths are tried that failed before, as they were
            full some time ago.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        client: exchange.UpstreamClient,
        context: request_context.RequestContext,
        writer: request_context.ResponseWriter,
    ) -> None:
        self.state = instance_state
        self.client = client
        self.context = context
        self.writer = writer
        self.progress = attempts.AttemptCounter()
        self.reader = open_runs.RunReader(
            instance_state.dispatcher,
            retrying.memory_tokens(context),
            context.route.objective_s,
        )
        self.room = waiting.Room(instance_state.dispatcher, self.reader.tokens)
        self.sent_at = 0.0
        self.last_id = context.request.last_event_id
        self.forgets_tried = False

    async def attempt(
        self, path: dispatch.Path | None
    ) -> open_runs.FailedRun | None:
        """Relays events until the stream is complete or a run fails.

        Args:
            path: Path on which the request is sent as well; None to wait for
                the open runs only.

        Returns:
            The run that failed or fell silent; None if the stream is complete.
        """
        until = self.context.deadline
        if path is None:
            self.reader.open.stay()
            until = min(until, time.monotonic() + RESUME_TIMEOUT_S)
        else:
            self._start(path)
        while True:
            try:
                run, outcome = await self.reader.next(until)
            except TimeoutError:
                now = time.monotonic()
                silent = self.reader.open.fall_silent(now)
                if silent is not None:
                    return open_runs.silent_run(silent, "no event in time")
                if until <= now < self.context.deadline:
                    if self._can_move():
                        self.forgets_tried = True
                        return open_runs.silent_run(
                            self.reader.open.runs[0], "still no event"
                        )
                    until = min(self.context.deadline, now + RESUME_TIMEOUT_S)
                continue
            match outcome:
                case open_runs.Events():
                    await self._relay(run, outcome)
                case open_runs.StreamEnd():
                    self._select(run, 0)
                    self.reader.close(run)
                    self.state.quarantine.record_served(
                        self.context.marks, time.monotonic()
                    )
                    await self._send_headers(outcome)
                    await self.writer.end(outcome.rest)
                    return None
                case upstream_responses.FailedAttempt():
                    self.reader.close(run)
                    return open_runs.FailedRun(
                        run.path, outcome, run.event_count
                    )

    async def wait_for_path(self, tried: frozenset[str]) -> retrying.Choice:
        """Chooses a path and waits if no path has capacity.

        A request that has not run waits only briefly, since its client can act
        on an early refusal. A request that has run waits until its client would
        disconnect and may return to a path that it has tried.
        """
        started_at = time.monotonic()
        if self.forgets_tried:
            tried = frozenset()
        until = (
            started_at + CAPACITY_WAIT_RATIO * self.context.route.objective_s
        )
        if self.progress.run_count:
            until = (
                self.writer.last_write_at or self.context.received_at
            ) + RESUME_TIMEOUT_S
        if self.state.settings.shares_load:
            return await self._wait_for_room(tried, started_at, until)
        while True:
            now = time.monotonic()
            choice = self._choose(tried)
            if isinstance(choice, dispatch.Path) or now >= until:
                return choice
            if (
                self.progress.run_count
                and now - started_at >= SAME_PATH_DELAY_S
            ):
                tried = frozenset()
            await asyncio.sleep(CAPACITY_POLL_S)

    async def _wait_for_room(
        self, tried: frozenset[str], started_at: float, until: float
    ) -> retrying.Choice:
        """Waits for a path in the queue of this instance."""
        has_run = bool(self.progress.run_count)

        def choose() -> waiting.Found:
            waited_s = time.monotonic() - started_at
            if has_run and waited_s >= SAME_PATH_DELAY_S:
                return self._choose(frozenset())
            return self._choose(tried)

        return await waiting.find_room(
            self.state,
            self.context,
            self.writer,
            self.room,
            choose,
            until if has_run else None,
        )

    def _choose(self, tried: frozenset[str]) -> waiting.Found:
        while True:
            choice = retrying.choose(self.state, self.context, tried)
            if not isinstance(
                choice, dispatch.Path
            ) or not self.reader.open.covers(choice):
                return choice
            tried |= {choice.name}

    def _can_move(self) -> bool:
        """Returns whether a path has room beside runs that are all silent."""
        return (
            self._may_move()
            and not self.reader.open.any_active
            and isinstance(self._choose(frozenset()), dispatch.Path)
        )

    def _start(self, path: dispatch.Path) -> None:
        run = stream_runs.StreamRun(
            self.context,
            path,
            self.last_id,
            may_move=self._may_move(),
            quiet_until=_quiet_until(path),
            must_stream=self.writer.started,
            is_retry=self.progress.is_retry,
        )
        self.sent_at = time.monotonic()
        self.reader.start(run, run.read(self.client))
        self.room.release()

    async def _relay(self, run: runs.Run, outcome: open_runs.Events) -> None:
        is_first = run.event_count == 0
        was_sound = self.writer.event_count >= runs.SOUND_EVENT_COUNT
        self._select(run, outcome.count)
        now = time.monotonic()
        self.state.dispatcher.record_event(run.path.name, now)
        if is_first:
            self.state.dispatcher.record_first_event(run.path.name)
            if not self.writer.started:
                self.state.waiting.queue(
                    self.context.service.name
                ).record_first_event(now - self.sent_at, now)
        self.last_id = outcome.last_id
        self.writer.event_count += outcome.count
        is_sound = self.writer.event_count >= runs.SOUND_EVENT_COUNT
        if is_sound and (is_first or not was_sound):
            self.state.quarantine.record_served(self.context.marks, now)
        await self._send_headers(outcome)
        await self.writer.write(outcome.data)
        # The time to write to the client does not count as silence.
        run.quiet_until = _quiet_until(run.path)

    def _select(self, run: runs.Run, events: int) -> None:
        """Closes all runs but one, which has gone on."""
        if run.is_silent:
            _log.info(
                "run_resumed",
                request=self.context.request.id,
                path=run.path.name,
                closed=len(self.reader.open.runs) - 1,
            )
        others = self.reader.open.go_on(
            run, events, self._may_move(), _quiet_until(run.path)
        )
        for other in others:
            self.reader.close(other)
        self.writer.last_upstream = run.path.name

    def _may_move(self) -> bool:
        return runs.may_try_another(self.context.route, self.progress)

    async def _send_headers(
        self, outcome: open_runs.Events | open_runs.StreamEnd
    ) -> None:
        # The headers are sent with the first event: until then, another engine
        # can take over with its own headers.
        if not self.writer.started:
            await self.writer.send_headers(outcome.status, outcome.headers)


def _quiet_until(path: dispatch.Path) -> float:
    return time.monotonic() + SILENCE_TIMEOUT_S + path.patience_s
