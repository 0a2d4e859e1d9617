"""Simulated object API of the platform."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import Any

from aiohttp import web

MAX_LOG_COUNT = 1000
MAX_SNAPSHOT_COUNT = 50
UNWATCHED_KINDS = frozenset({"claims", "lease"})


@dataclasses.dataclass
class Faults:
    """Faults that a test enables.

    Attributes:
        down: Whether every call is refused with status 503.
        delay_s: Delay of each call, in seconds.
        lose_replies: Number of writes to execute without a reply.
        drop_writes: Number of writes to drop before they take effect.
        claim_delay_s: Additional delay of calls for claims, in seconds.
        silent_watch: Whether watches never return, also those that wait
            already.
        stale_list: Number of writes by which listings are outdated.
        watch_gaps: Number of changes that no watch reports.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    drop_writes: int = 0
    claim_delay_s: float = 0.0
    silent_watch: bool = False
    stale_list: int = 0
    watch_gaps: int = 0


class Platform:
    """Objects with versions, conditional updates and long-poll watches.

    Attributes:
        faults: Faults in force.
        revision: Revision of the last write.
        objects: Objects by kind and name.
        log: Latest changes of watched kinds.
        snapshots: Revision and objects after each of the latest writes.
        changed: Notified on each change of a watched kind.
        members: Instances as published.
        calls: Number of calls by method and first part of the path.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.log: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_LOG_COUNT
        )
        self.snapshots: collections.deque[
            tuple[int, dict[tuple[str, str], dict[str, Any]]]
        ] = collections.deque([(0, {})], maxlen=MAX_SNAPSHOT_COUNT)
        self.changed = asyncio.Condition()
        self.members: list[dict[str, Any]] = []
        self.calls: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=4 * 1024 * 1024
        )
        app.router.add_get("/objects", self._list)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        app.router.add_get("/watch", self._watch)
        app.router.add_get("/instances", self._instances)
        app.router.add_put("/admin/instances", self._set_instances)
        app.router.add_post("/admin/restore/{writes}", self._restore)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/calls", self._calls)
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path in ("/faults", "/calls") or request.path.startswith(
            "/admin/"
        ):
            return await handler(request)
        self.calls[f"{request.method} {request.path.split('/')[1]}"] += 1
        if self.faults.down:
            raise web.HTTPServiceUnavailable()
        # A write takes effect even if its sender has disconnected by then.
        await request.read()
        await asyncio.sleep(self.faults.delay_s)
        if request.path.startswith("/objects/claims/"):
            await asyncio.sleep(self.faults.claim_delay_s)
        if request.method == "PUT" and self.faults.drop_writes:
            self.faults.drop_writes -= 1
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable()
        response = await handler(request)
        if request.method in ("PUT", "DELETE") and self.faults.lose_replies:
            self.faults.lose_replies -= 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.query.get("kind", "")
        revision, objects = self._snapshot_before(self.faults.stale_list)
        items = [
            o
            for (k, _), o in objects.items()
            if (k == kind if kind else k not in UNWATCHED_KINDS)
        ]
        return web.json_response({"revision": revision, "items": items})

    def _snapshot_before(
        self, writes: int
    ) -> tuple[int, dict[tuple[str, str], dict[str, Any]]]:
        """Returns the state before a number of writes, or the oldest one."""
        if writes == 0:
            return self.revision, self.objects
        return self.snapshots[max(0, len(self.snapshots) - 1 - writes)]

    async def _restore(self, request: web.Request) -> web.Response:
        """Restores an older state, as a restored backup does."""
        writes = int(request.match_info["writes"])
        self.revision, objects = self._snapshot_before(writes)
        self.objects = dict(objects)
        remaining = [o for o in self.log if o["revision"] <= self.revision]
        self.log = collections.deque(remaining, maxlen=MAX_LOG_COUNT)
        return web.json_response({"revision": self.revision})

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.objects.get(_key(request))
        if stored is None:
            raise web.HTTPNotFound()
        return web.json_response(stored)

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.json()
        key = _key(request)
        current = self._check_preconditions(request, key)
        self.revision += 1
        stored = {
            "kind": key[0],
            "name": key[1],
            "spec": body["spec"],
            "labels": body.get("labels", {}),
            "version": current + 1,
            "revision": self.revision,
        }
        self.objects[key] = stored
        await self._publish(stored)
        return web.json_response(stored)

    async def _delete(self, request: web.Request) -> web.Response:
        key = _key(request)
        if key not in self.objects:
            raise web.HTTPNotFound()
        self._check_preconditions(request, key)
        removed = self.objects.pop(key)
        self.revision += 1
        await self._publish(
            {**removed, "revision": self.revision, "deleted": True}
        )
        return web.json_response({"revision": self.revision})

    def _check_preconditions(
        self, request: web.Request, key: tuple[str, str]
    ) -> int:
        current = self.objects.get(key, {}).get("version", 0)
        expected = request.headers.get("If-Match")
        if expected is not None and int(expected) != current:
            raise web.HTTPPreconditionFailed()
        if request.headers.get("If-None-Match") == "*" and current:
            raise web.HTTPPreconditionFailed()
        return int(current)

    async def _publish(self, stored: dict[str, Any]) -> None:
        self.snapshots.append((self.revision, dict(self.objects)))
        if stored["kind"] not in UNWATCHED_KINDS and self.faults.watch_gaps > 0:
            self.faults.watch_gaps -= 1
            return
        if stored["kind"] in UNWATCHED_KINDS:
            return
        async with self.changed:
            self.log.append(stored)
            self.changed.notify_all()

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        wait_s = float(request.query["wait"])
        if self.faults.silent_watch:
            await asyncio.sleep(3600)
        if (
            len(self.log) == MAX_LOG_COUNT
            and since < self.log[0]["revision"] - 1
        ):
            raise web.HTTPGone()
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self._changes_after(since))
        except TimeoutError:
            pass
        if self.faults.silent_watch:
            await asyncio.sleep(3600)
        items = self._changes_after(since)
        return web.json_response({"revision": self.revision, "items": items})

    def _changes_after(self, since: int) -> list[dict[str, Any]]:
        return [o for o in self.log if o["revision"] > since]

    async def _instances(self, request: web.Request) -> web.Response:
        return web.json_response({"items": self.members})

    async def _set_instances(self, request: web.Request) -> web.Response:
        self.members = await request.json()
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(dataclasses.asdict(self.faults))

    async def _calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def _key(request: web.Request) -> tuple[str, str]:
    return (request.match_info["kind"], request.match_info["name"])
