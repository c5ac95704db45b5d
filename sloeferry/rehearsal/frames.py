"""As much of HTTP/1.1 as stand-ins need: whole messages with a stated length, out of bytes as they come."""
import re

LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
FIELD = re.compile(rb"\r\n([^:\r\n]+): *([^\r\n]*)")


class Frames:
    """Bytes in, messages out; `begun` while one is there in part."""
    __slots__ = ("rest", "need")

    def __init__(self):
        self.rest, self.need = b"", 0

    @property
    def begun(self):
        return bool(self.rest)

    def feed(self, data):
        """All that is whole now, as (first line, fields, body)."""
        self.rest += data
        found = []
        while len(self.rest) >= self.need and (end := self.rest.find(b"\r\n\r\n")) >= 0:
            length = LENGTH.search(self.rest, 0, end + 2)
            whole = end + 4 + (int(length[1]) if length else 0)
            if len(self.rest) < whole:
                self.need = whole        # not looked at again before it is there
                break
            head, body, self.rest, self.need = self.rest[:end], self.rest[end + 4:whole], self.rest[whole:], 0
            found.append((head.partition(b"\r\n")[0], {name.lower(): value for name, value in FIELD.findall(head)}, body))
        return found


def answer(status, body=b"", more=b""):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), more, body)
