"""A stand-in for the object store (S3 API)."""

from standins.faults import FaultyHandler
from standins.http import Call


class Objects(FaultyHandler):
    """Objects in memory, by path (``/bucket/key``)."""

    def __init__(self):
        super().__init__()
        self.objects: dict[str, bytes] = {}

    async def respond(self, call: Call, body: bytes) -> tuple:
        """Applies a request and returns the arguments of ``call.answer``."""
        if call.method == "PUT":
            self.objects[call.path] = body
            return (b"",)
        if call.path in self.objects:
            return (self.objects[call.path],)
        return b"<Error><Code>NoSuchKey</Code></Error>", 404
