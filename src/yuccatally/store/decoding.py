"""Repair of JSON documents of which single parts cannot be decoded."""

from __future__ import annotations

import asyncio
import re

import msgspec

from yuccatally.core.objects import content

# Takes the place of a part that cannot be decoded. It is skipped like any other
# value, and wherever it is decoded, the number is out of range. Null would pass
# for an optional field.
UNREADABLE = b"1e999"
# Matches after which other tasks run; they take some milliseconds.
SLICE_MATCH_COUNT = 1_000

_TEXT = rb'"(?:[^"\\]++|\\.)*+"'
_PLAIN = rb'[^\[\]{}"]++'
_MARK = re.compile(rb"%s|[\[\]{},:]" % _TEXT, re.DOTALL)
# A run of brackets, after everything that encloses no further brackets. The
# numbers of repeats bound the time of a match.
_BRACKETS = re.compile(
    rb"(?:%s|%s|[\[{](?:%s|%s){0,100}+[\]}]){0,100}+([\[{]++|[\]}]++)?+"
    % (_PLAIN, _TEXT, _PLAIN, _TEXT),
    re.DOTALL,
)


async def repair(document: bytes, member_nesting: int) -> bytes:
    """Returns a JSON document with ``UNREADABLE`` for parts that are malformed.

    Another writer can store an object that is nested too deeply, or that holds
    an invalid escape. The objects beside it and its own other members remain.
    The document is read once, whatever it contains, and other tasks run
    meanwhile. Numbers and texts are not checked, as they are skipped unless a
    type needs them.

    Args:
        document: Response of the store.
        member_nesting: Number of brackets around the members of an object, such
            as its name. Parts within a member are not kept separately.

    Raises:
        msgspec.DecodeError: The document is cut off or not JSON.
    """
    if _is_well_formed(document):
        return document
    repaired = await _replace_parts(document, member_nesting)
    if not _is_well_formed(repaired):
        raise msgspec.DecodeError("the document is not JSON")
    return repaired


def _is_well_formed(part: bytes | bytearray) -> bool:
    """Returns whether a part can be skipped when a document is decoded."""
    try:
        msgspec.json.decode(part, type=msgspec.Raw)
    except content.DECODE_ERRORS:
        return False
    return True


async def _replace_parts(document: bytes, member_nesting: int) -> bytes:
    """Returns a copy of a document in which malformed parts are replaced.

    Kinds of brackets are not compared: a part with a wrong one is malformed.

    Raises:
        msgspec.DecodeError: The document is cut off.
    """
    copied = bytearray()
    # Where the open parts start in the copy, the innermost last.
    starts = [0]
    position = match_count = 0
    while (found := _MARK.search(document, position)) is not None:
        match_count += 1
        if match_count % SLICE_MATCH_COUNT == 0:
            await asyncio.sleep(0)
        mark = found[0]
        copied += document[position : found.start()]
        position = found.end()
        if mark in b"[{":
            if len(starts) > member_nesting:
                end = await _find_end(document, position)
                copied += document[found.start() : end]
                position = end
                continue
            copied += mark
            starts.append(len(copied))
        elif mark in b",:]}":
            start = starts.pop()
            may_be_empty = mark in b"]}" and copied[start - 1 : start] in b"[{"
            _check_part(copied, start, may_be_empty)
            copied += mark
            if mark in b",:":
                starts.append(len(copied))
            elif not starts:
                raise msgspec.DecodeError("there is a bracket too many")
        else:
            copied += mark
    copied += document[position:]
    if len(starts) > 1:
        raise msgspec.DecodeError("the document is cut off")
    return bytes(copied)


def _check_part(copied: bytearray, start: int, may_be_empty: bool) -> None:
    """Replaces the part at the end of a copy if it is malformed."""
    part = copied[start:]
    if may_be_empty and not part.strip():
        return
    if not _is_well_formed(part):
        copied[start:] = UNREADABLE


async def _find_end(document: bytes, position: int) -> int:
    """Returns the end of the part whose opening bracket precedes a position.

    Raises:
        msgspec.DecodeError: The document is cut off.
    """
    nesting, match_count = 1, 0
    while True:
        match_count += 1
        if match_count % SLICE_MATCH_COUNT == 0:
            await asyncio.sleep(0)
        found = _BRACKETS.match(document, position)
        if found is None or found.end() == position:
            raise msgspec.DecodeError("the document is cut off")
        position = found.end()
        brackets = found[1] or b""
        if brackets[:1] in b"[{":
            nesting += len(brackets)
        elif nesting > len(brackets):
            nesting -= len(brackets)
        else:
            return found.start(1) + nesting
