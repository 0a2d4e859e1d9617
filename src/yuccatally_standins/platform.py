"""Stand-in for the platform's object API."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import Any

from aiohttp import web

LOG_LENGTH = 1000
HISTORY_LENGTH = 50
UNWATCHED = frozenset({"claims", "lease"})


@dataclasses.dataclass
class Faults:
    """Faults that a test switches on.

    Attributes:
        down: Every call is refused with status 503.
        delay_s: Delay of each call, in seconds.
        lose_replies: Number of writes to carry out without a reply.
        drop_writes: Number of writes to lose before they take effect.
        claim_delay_s: Delay of calls for claims, in seconds.
        silent_watch: Watches do not return, nor do those that wait already.
        stale_list: Listings are this many writes old.
        watch_gaps: Number of changes that no watch will report.
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
    """Objects with versions, conditional updates and long-poll watches."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.log: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=LOG_LENGTH
        )
        self.history: collections.deque[
            tuple[int, dict[tuple[str, str], dict[str, Any]]]
        ] = collections.deque([(0, {})], maxlen=HISTORY_LENGTH)
        self.changed = asyncio.Condition()
        self.members: list[dict[str, Any]] = []
        self.calls: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            middlewares=[self._faulty], client_max_size=4 * 1024 * 1024
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
    async def _faulty(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path in ("/faults", "/calls") or request.path.startswith(
            "/admin/"
        ):
            return await handler(request)
        self.calls[f"{request.method} {request.path.split('/')[1]}"] += 1
        if self.faults.down:
            raise web.HTTPServiceUnavailable()
        # A write takes effect even if its sender is gone by then.
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
        revision, objects = self._as_of(self.faults.stale_list)
        items = [
            o
            for (k, _), o in objects.items()
            if (k == kind if kind else k not in UNWATCHED)
        ]
        return web.json_response({"revision": revision, "items": items})

    def _as_of(
        self, writes: int
    ) -> tuple[int, dict[tuple[str, str], dict[str, Any]]]:
        """Returns the state before some writes, as far as it is kept."""
        if writes == 0:
            return self.revision, self.objects
        return self.history[max(0, len(self.history) - 1 - writes)]

    async def _restore(self, request: web.Request) -> web.Response:
        """Goes back to an older state, as after a restored copy."""
        writes = int(request.match_info["writes"])
        self.revision, objects = self._as_of(writes)
        self.objects = dict(objects)
        kept = [o for o in self.log if o["revision"] <= self.revision]
        self.log = collections.deque(kept, maxlen=LOG_LENGTH)
        return web.json_response({"revision": self.revision})

    async def _get(self, request: web.Request) -> web.Response:
        found = self.objects.get(_key(request))
        if found is None:
            raise web.HTTPNotFound()
        return web.json_response(found)

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.json()
        key = _key(request)
        current = self._checked(request, key)
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
        self._checked(request, key)
        gone = self.objects.pop(key)
        self.revision += 1
        await self._publish(
            {**gone, "revision": self.revision, "deleted": True}
        )
        return web.json_response({"revision": self.revision})

    def _checked(self, request: web.Request, key: tuple[str, str]) -> int:
        current = self.objects.get(key, {}).get("version", 0)
        expected = request.headers.get("If-Match")
        if expected is not None and int(expected) != current:
            raise web.HTTPPreconditionFailed()
        if request.headers.get("If-None-Match") == "*" and current:
            raise web.HTTPPreconditionFailed()
        return int(current)

    async def _publish(self, stored: dict[str, Any]) -> None:
        self.history.append((self.revision, dict(self.objects)))
        if stored["kind"] not in UNWATCHED and self.faults.watch_gaps > 0:
            self.faults.watch_gaps -= 1
            return
        if stored["kind"] in UNWATCHED:
            return
        async with self.changed:
            self.log.append(stored)
            self.changed.notify_all()

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        wait_s = float(request.query["wait"])
        if self.faults.silent_watch:
            await asyncio.sleep(3600)
        if len(self.log) == LOG_LENGTH and since < self.log[0]["revision"] - 1:
            raise web.HTTPGone()
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self._after(since))
        except TimeoutError:
            pass
        if self.faults.silent_watch:
            await asyncio.sleep(3600)
        items = self._after(since)
        return web.json_response({"revision": self.revision, "items": items})

    def _after(self, since: int) -> list[dict[str, Any]]:
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
