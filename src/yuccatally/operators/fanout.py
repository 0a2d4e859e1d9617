"""Requests to the operators' interfaces of all instances."""

from __future__ import annotations

import asyncio
import dataclasses
import ssl
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import msgspec

if TYPE_CHECKING:
    from yuccatally.instance import instance as instance_module
    from yuccatally.store import client

MAX_CONCURRENT_CALL_COUNT = 32
CALL_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 4_194_304


@dataclasses.dataclass(frozen=True)
class InstanceReply:
    """Response of one instance.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre that the platform lists for it.
        leaving: Whether the platform lists it as leaving.
        content: Decoded body; None if there was no valid response.
        error: Reason why there is no content; empty if there is.
    """

    instance: str
    data_centre: str
    leaving: bool
    content: Any = None
    error: str = ""


class Fanout:
    """Queries every instance that the platform lists, including this one."""

    def __init__(self, instance: instance_module.Instance) -> None:
        self.instance = instance
        self.call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALL_COUNT)
        self.ssl_context = _ssl_context(instance)

    async def get_all(
        self, path: str, authorization: str, own_content: Any
    ) -> tuple[InstanceReply, ...]:
        """Queries all instances concurrently, up to a limit.

        Args:
            path: Path of the operators' interface.
            authorization: Header of the operator's request. All instances of a
                deployment have the same operators' key.
            own_content: Response content of this instance.

        Returns:
            One reply for each instance, sorted by name.
        """
        own_settings = self.instance.settings.instance
        other_members = [
            m for m in self.instance.members if m.name != own_settings.name
        ]
        replies = await asyncio.gather(
            *(self._get(m, path, authorization) for m in other_members)
        )
        own_reply = InstanceReply(
            own_settings.name,
            own_settings.data_centre,
            self.instance.leaving,
            own_content,
        )
        return tuple(sorted((own_reply, *replies), key=lambda r: r.instance))

    async def _get(
        self, member: client.Member, path: str, authorization: str
    ) -> InstanceReply:
        reply = InstanceReply(member.name, member.data_centre, member.leaving)
        scheme = "http" if self.ssl_context is None else "https"
        url = f"{scheme}://{member.operators_address}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                self.call_slots,
                self.instance.session.get(
                    url,
                    headers={"Authorization": authorization},
                    timeout=timeout,
                    ssl=self.ssl_context or True,
                ) as response,
            ):
                body = await response.content.read(MAX_RESPONSE_BYTES)
                if response.status != 200:
                    message = f"answered with status {response.status}"
                    return dataclasses.replace(reply, error=message)
                content = msgspec.json.decode(body)
                return dataclasses.replace(reply, content=content)
        except TimeoutError:
            message = f"no answer within {CALL_TIMEOUT_S:g} s"
        except (aiohttp.ClientError, OSError) as error:
            message = f"not reachable: {type(error).__name__}"
        except (msgspec.DecodeError, RecursionError):
            message = "its response is not valid"
        return dataclasses.replace(reply, error=message)


def _ssl_context(instance: instance_module.Instance) -> ssl.SSLContext | None:
    settings = instance.settings.operators
    if not settings.certificate_file:
        return None
    return ssl.create_default_context(cafile=settings.authority_file or None)
