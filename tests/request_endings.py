"""The ways in which an instance's answer to a request may end, one function each."""

from __future__ import annotations

import asyncio

from tests.scripted_instance import (
    EXTRA,
    NOT_EXECUTED,
    STAMP,
    ReceivedCall,
    Connection,
    Ending,
    Script,
    left,
    sound_body,
)


def before_body(ending: Ending) -> Ending:
    """Mark an ending that does not wait for the body."""
    ending.before_body = True  # type: ignore[attr-defined]
    return ending


@before_body
async def reset_before_the_body(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    await connection.reset()
    return False


@before_body
async def closed_before_the_body(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    return False


async def reset_after_the_run(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    await connection.reset()
    return False


async def closed_after_the_run(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    return False


async def silence(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    return await left(script, connection)


async def answer_for_another(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(EXTRA)
    return await left(script, connection)


async def answer_for_another_first(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(EXTRA)
    connection.say(script.answer(asked, more=STAMP))
    return True


async def two_answers(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(script.answer(asked, more=STAMP) + EXTRA)
    return True


async def surplus_bytes(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(script.answer(asked, more=STAMP) + b"no answer at all")
    return True


async def garbage(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(b"this is no answer\r\n\r\n")
    return await left(script, connection)


async def no_length(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    """An answer that ends with its connection: it is whole."""
    script.ran(asked)
    script.given.append((200, sound_body(asked)))
    kind = b"Content-Type: text/event-stream\r\n" if asked.name.startswith("stream") and not asked.reads else b""
    connection.say(
        b"HTTP/1.1 200 X\r\nHophinge-Request-Id: %s\r\n%s%sConnection: close\r\n\r\n%s"
        % (asked.name.encode(), kind, STAMP, sound_body(asked))
    )
    return False


async def no_length_and_reset(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    """The same, reset on the way: it is not whole, and must not look so."""
    script.ran(asked)
    kind = b"Content-Type: text/event-stream\r\n" if asked.name.startswith("stream") and not asked.reads else b""
    connection.say(
        b"HTTP/1.1 200 X\r\nHophinge-Request-Id: %s\r\n%s%sConnection: close\r\n\r\n%s"
        % (asked.name.encode(), kind, STAMP, sound_body(asked)[:-3])
    )
    await connection.writer.drain()
    await asyncio.sleep(0.02)  # for the bytes to be read before the reset drops them
    await connection.reset()
    return False


async def half_an_answer(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(script.answer(asked, more=STAMP)[:-7])
    script.given.pop()
    return False


async def half_an_answer_and_silence(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(script.answer(asked, more=STAMP)[:-7])
    script.given.pop()
    return await left(script, connection)


@before_body
async def refused_before_the_body(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    """An early refusal; the body is read on later, and has to come whole."""
    connection.say(script.answer(asked, 503, NOT_EXECUTED, b""))
    return False


async def interim_answers(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
    connection.say(script.answer(asked, more=STAMP))
    return True


async def unstamped(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    script.ran(asked)
    connection.say(script.answer(asked))
    return True


def status(number: int, *, executed: bool, more: bytes = b"") -> Ending:
    """An answer with a status; one that is not executed says so, where `more` has it."""

    async def ending(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
        if executed:
            script.ran(asked)
        connection.say(script.answer(asked, number, more, b"status"))
        return True

    ending.__name__ = f"status_{number}_{'run' if executed else 'not_run'}_{'marked' if more == NOT_EXECUTED else ''}"
    return ending


NOT_RUN = (
    status(503, executed=False, more=NOT_EXECUTED),
    status(429, executed=False, more=NOT_EXECUTED),
    status(421, executed=False, more=NOT_EXECUTED),
    status(421, executed=False),
    refused_before_the_body,
)
RUN = (
    reset_before_the_body,
    closed_before_the_body,
    reset_after_the_run,
    closed_after_the_run,
    silence,
    answer_for_another,
    garbage,
    no_length_and_reset,
    half_an_answer,
    half_an_answer_and_silence,
    unstamped,
    status(503, executed=True),
    status(429, executed=True),
    status(408, executed=True),
    status(503, executed=True, more=STAMP),
    status(429, executed=True, more=STAMP),
)
SERVED = (
    two_answers,
    surplus_bytes,
    no_length,
    interim_answers,
    answer_for_another_first,
    status(500, executed=True, more=STAMP),
    status(504, executed=True, more=STAMP),
    status(400, executed=True, more=STAMP),
)
SILENCES = (silence, half_an_answer_and_silence, answer_for_another)
OWN_ANSWER_IS_WHOLE = (two_answers, surplus_bytes, no_length, interim_answers, answer_for_another_first)
