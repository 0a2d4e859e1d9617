"""Streams of events from pipelines whose engines pass the work on."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import attempts
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import events
from yuccatally.forwarding import answers
from yuccatally.forwarding import retrying
from yuccatally.upstreams import exchange
from yuccatally.upstreams import services

if TYPE_CHECKING:
    from yuccatally.forwarding import state
    from yuccatally.forwarding import ticket as tickets


# A stream without an event for this long goes on elsewhere. Clients leave
# after a pause of two seconds, and a new engine first reads the prompt again.
SILENCE_S = 0.9
# Longest wait for room on a pipeline, as a share of the objective. A refusal
# that comes later is worth less to a caller than one at once.
ROOM_WAIT_SHARE = 0.1
# Room comes with the end of an answer, some ten times a second.
ROOM_POLL_S = 0.02
# Pause before a stream goes on over the path that it broke off on; control
# repairs the path or finds it sound meanwhile.
SAME_PATH_S = 0.2
# Longest pause in which a stream waits to go on; clients leave after 2 s.
RESUME_WAIT_S = 1.5
# Longest failure of an engine that is passed on.
ERROR_LIMIT_BYTES = 1024 * 1024


@dataclasses.dataclass(eq=False)
class RunningAttempt:
    """A request that is under way on a path.

    Attributes:
        request: Id of the client's attempt.
        path: The path.
        service: Service of the path.
        may_move: Whether the request may be sent to another path.
        scope: Ends the attempt when it is rescheduled.
        answer: The answer, once its headers are there.
        begun: Whether an event has come.
        abandoned: Whether it was told to end.
    """

    request: str
    path: dispatch.Path
    service: str
    may_move: bool
    scope: asyncio.Timeout | None = None
    answer: exchange.UpstreamResponse | None = None
    begun: bool = False
    abandoned: bool = False


class StreamForwarder:
    """Forwards requests to pipelines and resumes streams that break off."""

    def __init__(
        self,
        node: state.State,
        client: exchange.UpstreamClient,
        on_failure: retrying.OnFailure,
    ) -> None:
        """Creates a forwarder.

        Args:
            node: Shared state.
            client: Client of the engines.
            on_failure: Called when an attempt has failed.
        """
        self.node = node
        self.client = client
        self.on_failure = on_failure
        self.running: set[RunningAttempt] = set()

    async def run(self, ticket: tickets.Ticket, reply: tickets.Reply) -> None:
        """Forwards a request until its stream is whole or must end."""
        progress = attempts.AttemptCounter()
        try:
            async with asyncio.timeout(ticket.left_s()):
                await self._forward(ticket, reply, progress)
        except TimeoutError:
            step = attempts.refuse_or_give_up(progress)
            if progress.run_count:
                step = attempts.GiveUp(504)
            await answers.end(reply, step, "deadline")

    def abandon(self, path: str) -> int:
        """Ends attempts on a path, so that they go on elsewhere.

        Those that could not go on, because of their route or of the retry
        budget, stay: the path may move again.

        Returns:
            Number of attempts that were ended.
        """
        now = asyncio.get_running_loop().time()
        found = [
            a
            for a in self.running
            if a.path.name == path
            and a.scope
            and a.may_move
            and not a.abandoned
        ]
        if found:
            budget = self.node.budget(found[0].service)
            left = budget.remaining(time.monotonic(), self.node.instances)
            found = found[:left]
        for attempt in found:
            attempt.abandoned = True
            attempt.scope.reschedule(now)
        return len(found)

    def on_path(self, path: str) -> dict[str, RunningAttempt]:
        """Returns the attempts that stay on a path, by request."""
        return {
            a.request: a
            for a in self.running
            if a.path.name == path and not a.abandoned
        }

    async def _forward(
        self,
        ticket: tickets.Ticket,
        reply: tickets.Reply,
        progress: attempts.AttemptCounter,
    ) -> None:
        splitter = events.EventSplitter(ticket.request.last_event_id)

        async def attempt(path: dispatch.Path) -> answers.Unusable | None:
            splitter.restart()
            result = await self._attempt(
                ticket, reply, path, splitter, progress
            )
            reply.events = splitter.events
            return result

        await retrying.forward(
            self.node,
            ticket,
            reply,
            progress,
            lambda tried: self._path(ticket, reply, progress, tried),
            attempt,
            self.on_failure,
        )

    async def _path(
        self,
        ticket: tickets.Ticket,
        reply: tickets.Reply,
        progress: attempts.AttemptCounter,
        tried: frozenset[str],
    ) -> dispatch.Path | dispatch.Full | dispatch.Nothing:
        """Chooses a path; waits a while if there is none with room.

        A request that has not run waits a short time and is then better
        refused, so that its client can plan. One that has run waits as long
        as its client does, and may go over a path that it has tried.
        """
        started_at = time.monotonic()
        until = started_at + ROOM_WAIT_SHARE * ticket.route.objective_s
        if progress.run_count:
            until = (reply.last_at or ticket.started_at) + RESUME_WAIT_S
        while True:
            now = time.monotonic()
            found = retrying.choose(self.node, ticket, tried)
            if isinstance(found, dispatch.Path) or now >= until:
                return found
            if progress.run_count and now - started_at >= SAME_PATH_S:
                tried = frozenset()
            await asyncio.sleep(ROOM_POLL_S)

    async def _attempt(
        self,
        ticket: tickets.Ticket,
        reply: tickets.Reply,
        path: dispatch.Path,
        splitter: events.EventSplitter,
        progress: attempts.AttemptCounter,
    ) -> answers.Unusable | None:
        """Returns None once the stream is whole, else what went wrong.

        The attempt is counted in ``progress`` already.
        """
        tokens = retrying.memory_tokens(ticket)
        self.node.dispatcher.record_start(path.name, tokens, time.monotonic())
        route = ticket.route
        attempt = RunningAttempt(
            ticket.request.id,
            path,
            ticket.service.name,
            route.repeat.may_run_again
            and progress.run_count < route.max_attempts,
        )
        try:
            async with asyncio.timeout(None) as attempt.scope:
                self.running.add(attempt)
                return await self._exchanged(ticket, reply, attempt, splitter)
        except TimeoutError:
            return answers.Unusable(attempts.NoResponse("path stalled", True))
        finally:
            self.running.discard(attempt)
            if attempt.answer is not None:
                attempt.answer.close()
            self.node.dispatcher.record_end(path.name, tokens, attempt.begun)

    async def _exchanged(
        self,
        ticket: tickets.Ticket,
        reply: tickets.Reply,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
    ) -> answers.Unusable | None:
        try:
            answer = await self.client.open(
                self._exchange(ticket, attempt, splitter)
            )
            attempt.answer = answer
            unusable = answers.judge_head(ticket, answer)
            if unusable is not None:
                return unusable
            if answer.status >= 300:
                body = await answer.body(ERROR_LIMIT_BYTES)
                whole = answers.Whole(answer.status, answer.headers, body)
                return answers.Unusable(
                    attempts.ErrorResponse(answer.status), whole
                )
            await self._relay(answer, reply, attempt, splitter)
        except services.NotSentError as error:
            return answers.Unusable(attempts.NotSent(str(error)))
        except exchange.NoResponseError as error:
            return answers.Unusable(
                attempts.NoResponse(str(error), error.timed_out)
            )
        except events.EventTooLongError as error:
            return answers.Unusable(attempts.NoResponse(str(error)))
        return None

    async def _relay(
        self,
        answer: exchange.UpstreamResponse,
        reply: tickets.Reply,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
    ) -> None:
        name = attempt.path.name
        async for chunk in answer.chunks():
            self.node.dispatcher.record_event(name, time.monotonic())
            if not attempt.begun:
                attempt.begun = True
                self.node.dispatcher.record_first_event(name)
            whole = splitter.feed(chunk)
            if not whole:
                continue
            if not reply.started:
                # Until the first event is there, another engine can take over
                # with its own headers.
                await reply.begin(answer.status, answer.headers)
            await reply.write(whole)
        if not reply.started:
            await reply.begin(answer.status, answer.headers)
        await reply.end(splitter.pending)

    def _exchange(
        self,
        ticket: tickets.Ticket,
        attempt: RunningAttempt,
        splitter: events.EventSplitter,
    ) -> exchange.UpstreamRequest:
        return exchange.UpstreamRequest(
            method=ticket.method,
            address=attempt.path.hops[0].address,
            target=ticket.target,
            headers=ticket.outgoing(splitter.last_id, attempt.path),
            body=ticket.body,
            # An answer that cannot go on elsewhere may still move here.
            read_timeout_s=SILENCE_S if attempt.may_move else ticket.left_s(),
            new_connection=not ticket.route.repeat.may_run_again,
        )
