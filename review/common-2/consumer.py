"""A consumer of streams that takes a stream up again after a broken channel."""

import asyncio
import contextlib
import re
import time

from deployment import new_id
from http1 import BROKEN, Channel, Reply

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+)\n\n")


class Stream:
    """One stream over a consumer's tries.

    Attributes:
        events: Number, software version and worker of each event.
        is_complete: Whether its last answer ended as complete.
    """

    def __init__(self, record, deployment, path, model, time_limit_s):
        self._record = record
        self._deployment = deployment
        self._path = path
        self._model = model
        self._end_s = time.monotonic() + time_limit_s
        self.first_id = new_id()
        # The same in all tries, and another one for each stream.
        self._body = self.first_id.encode() * 80
        self.events = []
        self.is_complete = False
        self.status = 0

    @property
    def versions(self):
        """The software versions of the workers whose events it holds."""
        return sorted({version for _, version, _ in self.events})

    @property
    def workers(self):
        """The workers whose events it holds."""
        return sorted({worker for _, _, worker in self.events})

    async def take(self, host, is_first=True):
        """Makes one try at a host; returns its status."""
        id_ = self.first_id if is_first else new_id()
        left_ms = max(1, int((self._end_s - time.monotonic()) * 1000))
        headers = {
            "Host": "a.example",
            "Acaciaspoke-Attempt-Id": id_,
            "Acaciaspoke-Model": self._model,
            "Acaciaspoke-Token-Count": "715,280",
            "Acaciaspoke-Time-Remaining-Ms": left_ms,
        }
        if not is_first:
            headers["Resumes"] = self.first_id
            headers["Last-Event-Id"] = self.events[-1][0] if self.events else ""
            if not self.events:
                del headers["Resumes"], headers["Last-Event-Id"]
        self._record(
            f"sent {id_} to {host}: stream {self.first_id}"
            f" after {headers.get('Last-Event-Id', '')!r}"
        )
        before = list(self.events)
        reply_body = {}

        def on_data():
            found = _EVENT.findall(bytes(reply_body["reply"].body))
            self.events = before + [
                (int(number), version.decode(), worker.decode())
                for number, version, worker, _ in found
            ]

        reply = await self._request(host, headers, reply_body, on_data)
        on_data()
        self.status, self.is_complete = reply.status, reply.complete
        self._record(
            f"answered {id_} by {host}: {reply.status}"
            f" {'complete' if reply.complete else 'broken off'},"
            f" events of stream {self.first_id}: {self.describe()}"
        )
        if reply.status == 200 or not reply.body:
            return reply
        self._record(f"  {bytes(reply.body)[:200]!r}")
        return reply

    async def _request(self, host, headers, holder, on_data):
        reply = holder["reply"] = Reply()
        channel = None
        left_s = max(0.01, self._end_s - time.monotonic())
        with contextlib.suppress(TimeoutError, *BROKEN):
            channel = await Channel.open(self._deployment.front(host))
            async with asyncio.timeout(left_s):
                await channel.send("POST", self._path, headers, self._body)
                await channel.receive(reply, on_data)
        if channel is not None:
            channel.close()
        return reply

    async def take_up(self, hosts, tries=4, pause_s=0.3):
        """Goes on at other hosts until it is complete."""
        for number in range(tries):
            if self.is_complete and self.status == 200:
                return
            if time.monotonic() >= self._end_s:
                return
            reply = await self.take(hosts[number % len(hosts)], is_first=False)
            if reply.status == 200 and reply.complete:
                return
            wait_s = float(reply.headers.get("retry-after", pause_s))
            await asyncio.sleep(wait_s)

    def describe(self):
        """Returns how many events each worker made."""
        counts = {}
        for _, version, worker in self.events:
            key = f"{worker} ({version})"
            counts[key] = counts.get(key, 0) + 1
        return ", ".join(f"{n} of {key}" for key, n in counts.items()) or "none"
