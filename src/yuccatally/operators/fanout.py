"""Questions to the operators' interfaces of all instances."""

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

CONCURRENT_CALLS = 32
CALL_TIMEOUT_S = 2.0
ANSWER_BYTES = 4_194_304


@dataclasses.dataclass(frozen=True)
class InstanceReply:
    """What one instance answered.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre that the platform lists for it.
        leaving: Whether the platform lists it as leaving.
        content: Decoded body; None if there was no usable answer.
        error: Why there is no content.
    """

    instance: str
    data_centre: str
    leaving: bool
    content: Any = None
    error: str = ""


class Fanout:
    """Asks every instance that the platform lists, and this one."""

    def __init__(self, instance: instance_module.Instance) -> None:
        self.instance = instance
        self.calls = asyncio.Semaphore(CONCURRENT_CALLS)
        self.ssl_context = _ssl_context(instance)

    async def ask(
        self, path: str, authorization: str, own: Any
    ) -> tuple[InstanceReply, ...]:
        """Asks all instances at once, a bounded number at a time.

        Args:
            path: Path of the operators' interface.
            authorization: Header of the operator's request; the instances of
                a site share the operators' key.
            own: What this instance answers.

        Returns:
            One answer for each instance in order of the names.
        """
        here = self.instance.settings.instance
        others = [m for m in self.instance.members if m.name != here.name]
        answers = await asyncio.gather(
            *(self._ask(m, path, authorization) for m in others)
        )
        mine = InstanceReply(
            here.name, here.data_centre, self.instance.leaving, own
        )
        return tuple(sorted((mine, *answers), key=lambda a: a.instance))

    async def _ask(
        self, member: client.Member, path: str, authorization: str
    ) -> InstanceReply:
        answer = InstanceReply(member.name, member.data_centre, member.leaving)
        scheme = "http" if self.ssl_context is None else "https"
        url = f"{scheme}://{member.operators_address}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                self.calls,
                self.instance.session.get(
                    url,
                    headers={"Authorization": authorization},
                    timeout=timeout,
                    ssl=self.ssl_context or True,
                ) as response,
            ):
                body = await response.content.read(ANSWER_BYTES)
                if response.status != 200:
                    message = f"answers with status {response.status}"
                    return dataclasses.replace(answer, error=message)
                content = msgspec.json.decode(body)
                return dataclasses.replace(answer, content=content)
        except TimeoutError:
            message = f"no answer within {CALL_TIMEOUT_S:g} s"
        except (aiohttp.ClientError, OSError) as error:
            message = f"not reachable: {type(error).__name__}"
        except (msgspec.DecodeError, RecursionError):
            message = "its answer is not valid"
        return dataclasses.replace(answer, error=message)


def _ssl_context(instance: instance_module.Instance) -> ssl.SSLContext | None:
    settings = instance.settings.operators
    if not settings.certificate_file:
        return None
    return ssl.create_default_context(cafile=settings.authority_file or None)
