"""Stand-in of an engine, a process of its own: streams of events that name its version.

Arguments: a JSON object with `id`, `service`, `address`, `zone`, `version`, `slots`, `store`,
`heartbeat`, `gap` (seconds between events), `first` (seconds to the first one), `log`, and perhaps
`backlog`, the length of its queue of new connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import messages

_QUEUE = 32
_BACKLOG = 100
_TOKENS_PER_EVENT = 5


class Engine:
    """One incarnation of an engine."""

    def __init__(self, options: dict[str, Any]) -> None:
        """Run with the options of the command line."""
        self._options = options
        self._born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(options["slots"])
        self._present = 0
        self._sequence = 0
        self._log = Path(options["log"]).open("a", encoding="utf-8", buffering=1)

    async def run(self) -> None:
        """Serve, and keep the entry in the store, until killed."""
        host, _, port = self._options["address"].partition(":")
        backlog = self._options.get("backlog", _BACKLOG)
        server = await asyncio.start_server(self._serve, host, int(port), backlog=backlog)
        async with server:
            while True:
                await self._beat()
                await asyncio.sleep(self._options["heartbeat"])

    async def _beat(self) -> None:
        """Write the entry; while the store answers 503, try again soon."""
        while not await self._write_entry():
            await asyncio.sleep(0.05)

    async def _write_entry(self) -> bool:
        self._sequence += 1
        options = self._options
        spec = {
            "service": options["service"],
            "address": options["address"],
            "zone": options["zone"],
            "version": options["version"],
            "slots": options["slots"],
            "state": "ready",
            "coldRemainingMs": 0,
            "born": self._born,
            "seqNo": self._sequence,
        }
        name = options["id"]
        status = await self._call("PUT", f"/objects/servers/{name}", {"name": name}, spec)
        if status == 404:
            status = await self._call("POST", "/objects/servers", {"name": name}, spec)
        return status == 200

    async def _call(self, method: str, path: str, metadata: Any, spec: Any) -> int:
        host, _, port = self._options["store"].partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0
        body = json.dumps({"metadata": metadata, "spec": spec}).encode()
        try:
            writer.write(messages.message(f"{method} {path} HTTP/1.1", {"Host": host}, body))
            head = await messages.read_head(reader)
            return head.status if head is not None else 0
        finally:
            writer.close()

    def _note(self, **fields: Any) -> None:
        fields |= {"at": time.time(), "engine": self._options["id"], "born": self._born}
        fields |= {"version": self._options["version"]}
        self._log.write(json.dumps(fields) + "\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await messages.read_head(reader)) is not None:
                body = await messages.read_body(reader, head)
                await self._answer(head, body, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        head: messages.Head,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        path = head.line.split()[1]
        own_id = self._options["id"]
        if path == "/health":
            writer.write(messages.message("HTTP/1.1 200 OK", {"Instance-Id": own_id}))
            return
        if path == "/report":
            content = {"stage": "colocated", "models": [], "busy": False, "seqNo": self._sequence}
            content |= {"queued": 0, "running": self._present, "born": self._born}
            content |= {"kvUsed": 0, "kvTotal": 300000, "handles": 0}
            writer.write(messages.message("HTTP/1.1 200 OK", {}, json.dumps(content).encode()))
            return
        attempt = head.headers.get("attempt-id", "")
        common = {"Attempt-Id": attempt}
        if head.headers.get("target-instance", own_id) != own_id:
            refused = {**common, "Instance-Id": own_id, "Not-Executed": "1"}
            writer.write(messages.message("HTTP/1.1 421 Misdirected Request", refused))
            return
        if self._present >= self._options["slots"] + _QUEUE:
            full = {**common, "Not-Executed": "1"}
            writer.write(messages.message("HTTP/1.1 503 Service Unavailable", full))
            return
        self._present += 1
        try:
            await self._run(head, len(body), attempt, reader, writer)
        finally:
            self._present -= 1

    async def _run(
        self,
        head: messages.Head,
        size: int,
        attempt: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        work = asyncio.create_task(self._stream(head, attempt, writer))
        closed = asyncio.create_task(reader.read(1))
        self._note(event="begins", attempt=attempt, size=size, after=_last_event(head))
        done, _ = await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        is_dropped = work not in done
        self._note(event="dropped" if is_dropped else "ends", attempt=attempt)
        for task in (work, closed):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await task
        if is_dropped:
            raise ConnectionResetError

    async def _stream(
        self, head: messages.Head, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        """Send the events after the last one that the client has, as many as it asked for."""
        options = self._options
        count = int(head.headers["token-usage"].split(",")[1]) // _TOKENS_PER_EVENT
        async with self._slots:
            await asyncio.sleep(options["first"])
            lines = (
                "HTTP/1.1 200 OK",
                f"Attempt-Id: {attempt}",
                f"Response-Signature: {options['id']}.{self._born}.{attempt}",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "",
                "",
            )
            writer.write("\r\n".join(lines).encode())
            for number in range(_last_event(head) + 1, count + 1):
                event = f"id: {number}\ndata: {options['version']}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(options["gap"])
            writer.write(b"0\r\n\r\n")


def _last_event(head: messages.Head) -> int:
    return int(head.headers.get("last-event-id") or 0)


if __name__ == "__main__":
    asyncio.run(Engine(json.loads(sys.argv[1])).run())
