"""JSON objects out of a stream of bytes: one a line, or each over as many lines as its writer likes.  No socket here."""

import codecs
import json
import re
from typing import Any

# Where an object may have ended: nothing follows, or the next one.  Within an object a comma or a bracket would.
_OBJECT_END = re.compile(r"}\s*(?:{|\Z)")
_LAST_WORD = re.compile(r"[\w.+-]*\s*\Z")
_decode_first = json.JSONDecoder().raw_decode  # the value that a text begins with, and where that ends


class JsonStream:
    """Objects are taken as soon as their last byte is there.

    A line that begins no object, or one that cannot go on as JSON, is dropped alone.  `pending` is the text of the object
    under way: whoever reads limits its length.
    """

    def __init__(self):
        self.pending = ""
        self._decoder = codecs.getincrementaldecoder("utf-8")("replace")

    def feed(self, data: bytes) -> list[dict[str, Any] | None]:
        """The objects that are complete by now, in order; None for each line that cannot be read."""
        search_from = max(0, self.pending.rfind("}"))
        self.pending = (self.pending + self._decoder.decode(data)).lstrip()
        values: list[dict[str, Any] | None] = []
        while self.pending:
            if self.pending[0] == "{":
                # Not at each byte that comes: a list of some MB would be read again with each of them.
                if not _OBJECT_END.search(self.pending, search_from):
                    break
                try:
                    value, end = _decode_first(self.pending)
                    values.append(value)
                    self.pending, search_from = self.pending[end:].lstrip(), 0
                    continue
                except json.JSONDecodeError as error:
                    if self._may_go_on(error):
                        break
                except RecursionError:
                    pass
            _, newline, rest = self.pending.partition("\n")
            if not newline:
                break
            values.append(None)
            self.pending, search_from = rest.lstrip(), 0
        return values

    def _may_go_on(self, error: json.JSONDecodeError) -> bool:
        """Whether the text may just not have come to its end.

        So it is where it ends at the error, or in the middle of a word, a number or a string (which cannot hold the end of a
        line).
        """
        is_in_string = error.msg.startswith("Unterminated")
        is_in_escape = error.msg.startswith("Invalid \\") and "\n" not in self.pending[error.pos :]
        return is_in_string or is_in_escape or _LAST_WORD.match(self.pending, error.pos) is not None
