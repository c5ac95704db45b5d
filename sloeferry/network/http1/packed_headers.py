"""Header lines of one message, held as text.

As objects of its own a short line takes some 200 bytes, so that a head of 16 KB could take 300 KB.
"""

from collections.abc import Iterator

_LINE_END = b"\r\n"
_SEPARATOR = b": "


class PackedHeaders:
    """An ordered list of headers in about as many bytes as on the wire.

    Names are tokens and values hold no line ends, as the parser ensures, so that lines and names can be told apart.
    """

    __slots__ = ("_lines",)

    def __init__(self):
        self._lines = bytearray(_LINE_END)  # a line end, then each line with its end

    def append(self, name: bytes, value: bytes) -> None:
        """Add a header; `name` is in lower case."""
        self._lines += b"%b: %b\r\n" % (name, value)

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the header of that name; None if it is missing or repeated."""
        line_start = _LINE_END + name + _SEPARATOR
        if self._lines.count(line_start) != 1:
            return None
        value, _, _ = self._lines.partition(line_start)[2].partition(_LINE_END)
        return bytes(value)

    def __contains__(self, name: bytes) -> bool:
        """Return whether there is a header of that name, repeated or not."""
        return _LINE_END + name + _SEPARATOR in self._lines

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        """Return an iterator over the names and values, in order."""
        for line in bytes(self._lines).split(_LINE_END)[1:-1]:
            name, _, value = line.partition(_SEPARATOR)
            yield name, value
