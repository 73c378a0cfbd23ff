"""A log stream that never blocks and holds a bounded amount."""

import os
from collections import deque
from typing import Final

MAX_BUFFERED_BYTES: Final = 1_000_000


class LogStream:
    """Writes lines to a descriptor; what it does not take is held back.

    :param buffered_bytes: What the reader has not taken yet.
    :param dropped_count: Lines given up because too much was held back.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, encoded: bytes) -> None:
        """Hold bytes and write as much as the reader takes.

        :param encoded: Usually one line.
        """
        if self.buffered_bytes + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
        else:
            self._buffer.append(encoded)
            self.buffered_bytes += len(encoded)
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
        can_write = True
        while self._buffer and can_write:
            can_write = self._write_first()

    def _write_first(self) -> bool:
        chunk = self._buffer.popleft()
        try:
            written_count = os.write(self._descriptor, chunk)
        except BlockingIOError:
            self._buffer.appendleft(chunk)
            return False
        except OSError:
            # Nobody reads any more, and nobody can be told.
            self.buffered_bytes -= len(chunk)
            self.dropped_count += 1
            return False
        self.buffered_bytes -= written_count
        if written_count < len(chunk):
            self._buffer.appendleft(chunk[written_count:])
        return True
