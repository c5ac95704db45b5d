"""JSON values out of a stream: one a line, or each over as many lines as its writer likes.  No socket here."""

import codecs
import json
import re

# Where an object may have ended: nothing follows, or the next one.  Within an object a comma or a bracket would.
ENDED = re.compile(r"}\s*(?:{|\Z)")
LAST_WORD = re.compile(r"[\w.+-]*\s*\Z")
first = json.JSONDecoder().raw_decode  # of a text: the value that it begins with, and where that ends


class Values:
    """Objects are taken as soon as their last byte is there; a line that begins no object, or one that can't go on
    as JSON, is dropped alone.  `held` is the text of the one under way: whoever reads bounds it."""

    def __init__(self):
        self.held, self.decoder = "", codecs.getincrementaldecoder("utf-8")("replace")

    def cut(self, fault):
        """Whether the text may just go on: it ends where the fault is, or in the middle of a word, a number or a string
        (which can't hold the end of a line)."""
        in_string = (
            fault.msg.startswith("Unterminated") or fault.msg.startswith("Invalid \\") and "\n" not in self.held[fault.pos :]
        )
        return in_string or LAST_WORD.match(self.held, fault.pos) is not None

    def feed(self, data):
        """What is whole by now, in order; None for each line that can't be read."""
        looked = max(0, self.held.rfind("}"))
        self.held, said = (self.held + self.decoder.decode(data)).lstrip(), []
        while self.held:
            if self.held[0] == "{":
                # Not at each byte that comes: a list of some MB would be read again with each of them.
                if not ENDED.search(self.held, looked):
                    break
                try:
                    value, end = first(self.held)
                    said.append(value)
                    self.held, looked = self.held[end:].lstrip(), 0
                    continue
                except json.JSONDecodeError as fault:
                    if self.cut(fault):
                        break
                except RecursionError:
                    pass
            _, newline, rest = self.held.partition("\n")
            if not newline:
                break
            said.append(None)
            self.held, looked = rest.lstrip(), 0
        return said
