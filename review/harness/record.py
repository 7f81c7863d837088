"""Record of one run: what was sent, answered and run."""

import time

__all__ = ["Record"]


class Record:
    """Writes timestamped lines to a file.

    Args:
        path: Path of the file, which is replaced.
    """

    def __init__(self, path):
        self._file = open(path, "w")
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the run."""
        return time.monotonic() - self._start_s

    def line(self, text):
        """Write one line; return its time."""
        at_s = self.now_s()
        self._file.write(f"{at_s:9.3f} {text}\n")
        return at_s

    def say(self, text):
        """Write one line and print it."""
        print(text, flush=True)
        return self.line(text)

    def close(self):
        """Close the file."""
        self._file.close()
