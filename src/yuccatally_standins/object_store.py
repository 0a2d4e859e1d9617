"""Simulated metadata store of the users' platform."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import Any

from aiohttp import web

PAGE_ITEM_COUNT = 500


@dataclasses.dataclass
class Faults:
    """Faults that a test enables.

    Attributes:
        status: Status that refuses every call; 0 for none.
        silent: Whether calls get no response.
        lose_replies: Number of writes to execute without a reply.
        refused: Remote addresses whose calls get status 503.
    """

    status: int = 0
    silent: bool = False
    lose_replies: int = 0
    refused: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Copy:
    """Objects and revision of a store at a moment."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


class ObjectStore:
    """Objects by kind and name, with a common revision.

    Attributes:
        faults: Faults in force.
        revision: Revision of the last change.
        compacted: Revision up to which the history was discarded.
        objects: Objects by kind and name.
        raw_specs: Content of objects that is passed on unchanged, by name.
        history: Changes after ``compacted`` as revision, kind and event.
        epoch: Number that all responses name; it rises with each restore.
        cuts: Number of restores that have ended waiting watches.
        changed: Notified on each change.
        calls: Method and path of each call so far.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 1
        self.compacted = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.raw_specs: dict[str, bytes] = {}
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.epoch = 0
        self.cuts = 0
        self.changed = asyncio.Condition()
        self.calls: list[str] = []

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(middlewares=[self._apply_faults])
        app.on_response_prepare.append(self._name_epoch)
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        return app

    async def set(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object, as an operator or an upstream does."""
        self._store(kind, name, spec)
        await self._notify()

    async def set_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Writes an object whose content is passed on as these bytes."""
        self.raw_specs[name] = spec
        await self.set(kind, name, f"raw:{name}")

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object, as the platform does."""
        self._drop(kind, name)
        await self._notify()

    async def compact(self) -> None:
        """Discards the history and ends waiting watches with status 410."""
        self.compacted = self.revision
        self.history.clear()
        await self._notify()

    def copy(self) -> Copy:
        """Returns a copy from which the store can be restored."""
        return Copy(self.revision, dict(self.objects))

    async def restore(self, saved: Copy, cut_watches: bool = True) -> None:
        """Restores a copy: later changes are lost, their revisions free.

        Args:
            saved: The copy.
            cut_watches: Whether waiting watches end; they otherwise wait for
                changes after their revision in the new history.
        """
        self.cuts += cut_watches
        self.epoch += 1
        self.revision = saved.revision
        self.objects = dict(saved.objects)
        # The copy has no history; a watch from a lost revision gets 410.
        self.compacted = saved.revision
        self.history.clear()
        await self._notify()

    async def _name_epoch(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self.epoch)

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        if request.remote in self.faults.refused:
            return web.Response(status=503)
        response = await handler(request)
        if request.method != "GET" and self.faults.lose_replies:
            self.faults.lose_replies -= 1
            request.transport.close()
        return response

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[(kind, n)] for n in names[:PAGE_ITEM_COUNT]]
        more = len(names) > PAGE_ITEM_COUNT
        body = {"items": items, "hasMore": more, "at": self.revision}
        return self._respond(body)

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        if since < self.compacted or since > self.revision:
            return web.Response(status=410)
        cuts = self.cuts
        wait_s = int(request.query["waitMs"]) / 1e3

        def events() -> list[dict[str, Any]]:
            return [e for r, k, e in self.history if k == kind and r > since]

        async with self.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait_for(
                        lambda: (
                            events()
                            or since < self.compacted
                            or cuts != self.cuts
                        )
                    )
            except TimeoutError:
                pass
        if cuts != self.cuts:
            # The restart that comes with a restore ends all connections.
            request.transport.abort()
            return web.Response()
        if since < self.compacted:
            return web.Response(status=410)
        return self._respond({"events": events(), "at": self.revision})

    def _respond(self, body: dict[str, Any]) -> web.Response:
        encoded = json.dumps(body).encode()
        for name, spec in self.raw_specs.items():
            encoded = encoded.replace(b'"raw:%s"' % name.encode(), spec)
        return web.Response(body=encoded, content_type="application/json")

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.objects.get(_key(request))
        if stored is None:
            return web.Response(status=404)
        return self._respond(stored)

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        stored = self.objects.get((kind, name))
        if stored is not None:
            return web.json_response(stored, status=409)
        return await self._write(kind, name, body["spec"])

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = _key(request)
        stored = self.objects.get((kind, name))
        if stored is None:
            return web.Response(status=404)
        expected = body["metadata"].get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            return web.json_response(stored, status=409)
        return await self._write(kind, name, body["spec"])

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        if (kind, name) not in self.objects:
            return web.Response(status=404)
        self._drop(kind, name)
        await self._notify()
        return web.json_response({})

    async def _write(self, kind: str, name: str, spec: Any) -> web.Response:
        self._store(kind, name, spec)
        await self._notify()
        return web.json_response(self.objects[(kind, name)])

    def _store(self, kind: str, name: str, spec: Any) -> None:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[(kind, name)] = stored
        event = {"object": stored, "deleted": False}
        self.history.append((self.revision, kind, event))

    def _drop(self, kind: str, name: str) -> None:
        self.revision += 1
        removed = self.objects.pop((kind, name))
        metadata = {**removed["metadata"], "revision": self.revision}
        event = {"object": {**removed, "metadata": metadata}, "deleted": True}
        self.history.append((self.revision, kind, event))

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]
