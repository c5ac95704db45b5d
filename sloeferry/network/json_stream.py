"""An incremental parser for a stream of JSON objects, each on one line or spread over several.  It does no I/O."""

import codecs
import json
import re
from typing import Any

# A possible end of an object: the end of the text or the next object follows, not a comma or bracket as within an object.
_OBJECT_END = re.compile(r"}\s*(?:{|\Z)")
_LAST_WORD = re.compile(r"[\w.+-]*\s*\Z")
_decode_first = json.JSONDecoder().raw_decode  # returns the first value of a text and the position of its end


class JsonStream:
    """Parses objects as soon as their last byte has arrived.

    A line that does not begin an object, or that cannot be continued to valid JSON, is dropped; the lines after it are still
    parsed.
    `pending` is the text of the incomplete object; the caller has to limit its length.
    """

    def __init__(self):
        self.pending = ""
        self._decoder = codecs.getincrementaldecoder("utf-8")("replace")

    def feed(self, data: bytes) -> list[dict[str, Any] | None]:
        """Add data and return the objects that it completes, in order, with None for each unreadable line."""
        search_from = max(0, self.pending.rfind("}"))
        self.pending = (self.pending + self._decoder.decode(data)).lstrip()
        values: list[dict[str, Any] | None] = []
        while self.pending:
            if self.pending[0] == "{":
                # Parse only at a possible end: a list of some MB would otherwise be parsed again with each piece received.
                if not _OBJECT_END.search(self.pending, search_from):
                    break
                try:
                    value, end = _decode_first(self.pending)
                    values.append(value)
                    self.pending, search_from = self.pending[end:].lstrip(), 0
                    continue
                except json.JSONDecodeError as error:
                    if self._may_be_incomplete(error):
                        break
                except (RecursionError, ValueError):  # nested too deeply, or a number with too many digits
                    pass
            _, newline, rest = self.pending.partition("\n")
            if not newline:
                break
            values.append(None)
            self.pending, search_from = rest.lstrip(), 0
        return values

    def _may_be_incomplete(self, error: json.JSONDecodeError) -> bool:
        """Return whether the text may be the beginning of a valid object.

        It may be if the text ends at the error, or in the middle of a word, a number or a string.  A string cannot contain a
        newline.
        """
        is_in_string = error.msg.startswith("Unterminated")
        is_in_escape = error.msg.startswith("Invalid \\") and "\n" not in self.pending[error.pos :]
        return is_in_string or is_in_escape or _LAST_WORD.match(self.pending, error.pos) is not None
