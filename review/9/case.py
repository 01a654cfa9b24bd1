"""All hosts are stopped in turn, while clients go on calling the last one."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from dataclasses import dataclass
from pathlib import Path

from standins2.fleet import Fleet

FOLDER = Path(__file__).resolve().parent
WORKERS = {f"i-a{number}": ["a", f"r1-{number}"] for number in range(4)}

GAP_S = 2.0
"""Seconds between two stops, as in the site file."""

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
CALL_INTERVAL_S = 0.1
MOST_CALLS = 120
STEP = {"count": 1, "cpu": 1000, "memMb": 512, "estRuntimeMs": 500}


@dataclass
class Call:
    """A call of a client over a connection of its own.

    :param sent_at: monotonic time at which its last byte was sent; 0 if it was not
    :param ended_at: time of the answer, or of the end of the connection
    :param answer: first line of the answer; empty if there was none
    """

    sent_at: float = 0.0
    ended_at: float = 0.0
    answer: str = ""

    @property
    def is_lost(self) -> bool:
        """Whether the connection ended without an answer, late after the request."""
        is_unanswered = self.sent_at > 0 and not self.answer
        return is_unanswered and self.ended_at - self.sent_at > LOSS_SLACK_S


async def call(ip: str, number: int) -> Call:
    """Hand in a job, and wait for the answer or the end of the connection."""
    result = Call()
    body = (
        b'{"spec":"work 0.5","steps":[{"count":1,"cpu":1000,"memMb":512,'
        b'"estRuntimeMs":500}]}'
    )
    head = (
        f"POST /jobs/{number:016x} HTTP/1.1\r\nHost: front.example\r\n"
        "Authorization: Token key-1\r\nContent-Type: application/json\r\n"
        f"X-Jacinthloom-Time-Budget-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(ip, 8183)
            writer.write(head.encode() + body)
            await writer.drain()
            result.sent_at = time.monotonic()
            try:
                data = await reader.read(4096)
                result.answer = data.decode().partition("\r\n")[0]
            finally:
                writer.close()
    except (OSError, TimeoutError):
        pass
    result.ended_at = time.monotonic()
    return result


async def play(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    await fleet.start(WORKERS)
    await fleet.submit("0100000000000001", "work 0.5", STEP)
    stops_at: list[float] = []
    if has_trouble:
        for number in range(len(fleet.ips)):
            fleet.stop_process(number)
            stops_at.append(time.monotonic())
            if number < len(fleet.ips) - 1:
                await asyncio.sleep(GAP_S)
    began_at = time.monotonic()
    tasks = []
    for number in range(MOST_CALLS):
        if time.monotonic() - began_at > GRACE_S:
            break
        tasks.append(asyncio.create_task(call(fleet.ips[-1], 0x20000 + number)))
        await asyncio.sleep(CALL_INTERVAL_S)
    lost = 0
    for task in tasks:
        result = await task
        sent_s, took_s = result.sent_at - began_at, result.ended_at - result.sent_at
        if not result.sent_at:
            text = "not sent: no connection"
        else:
            outcome = result.answer or "the connection ended without an answer"
            text = f"sent at {sent_s:.2f} s, after {took_s:.2f} s: {outcome}"
        fleet.write(text + (" (LOST)" if result.is_lost else ""))
        lost += result.is_lost and result.ended_at - began_at < GRACE_S + 1
    fleet.write(f"{lost} calls of {len(tasks)} were read and not answered")
    return not lost


async def main() -> int:
    """Play the case; return the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    task = asyncio.current_task()
    assert task is not None
    # A stopped script ends its processes too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    fleet = Fleet(FOLDER, 3)
    try:
        async with asyncio.timeout(105):
            held = await play(fleet, has_trouble)
    except (Exception, asyncio.CancelledError):
        fleet.write(traceback.format_exc())
        return 2
    else:
        fleet.write("the rule held" if held else "the rule was broken")
        return 0 if held else 1
    finally:
        await fleet.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
