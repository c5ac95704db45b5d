"""The incremental parser for a stream of JSON objects."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.network.json_stream import JsonStream

OBJECTS = {
    "list": {"revision": 3, "members": [{"id": "b", "x": [1, {}, []]}, {}]},
    "nested": {"a": {"b": {}}},
    "text": {"id": 'a "}\\" { b', "umlaut": "ü}{", "n": None},
}
UNREADABLE = ["nonsense", "3", "{ no", '{"a": [', '{"a": %s}' % ("9" * 5000)]
INDENTS = [None, 0, 1, 4, "\t"]
ENDS = ["\n", "\r\n", "\n\n", " \n"]
PIECES = st.tuples(st.sampled_from([*OBJECTS, *UNREADABLE]), st.sampled_from(INDENTS), st.sampled_from(ENDS))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(PIECES, max_size=6), st.lists(st.integers(0, 4000), max_size=8))
def test_objects_in_any_layout(pieces: list[tuple[str, int | str | None, str]], cuts: list[int]):
    """Objects are returned complete and in order, whatever their white space and wherever their bytes are split.

    An unreadable line does not affect the objects after it; it is recognized at the latest when another object follows.
    """
    text, unreadable_count = "", 0
    expected = []
    for name, indent, end in pieces:
        if name in OBJECTS:
            expected.append(OBJECTS[name])
            text += json.dumps(OBJECTS[name], indent=indent, ensure_ascii=False) + end
        else:
            unreadable_count += 1
            text += name + "\n"
    # An unreadable line at the end is recognized only by the objects that follow.
    expected += [OBJECTS["list"], OBJECTS["nested"]]
    text += "".join(json.dumps(value) + "\n" for value in expected[-2:])
    data = text.encode()
    stream, values = JsonStream(), []
    begin = 0
    for end_at in [*sorted(min(cut, len(data)) for cut in cuts), len(data)]:
        values += stream.feed(data[begin:end_at])
        begin = end_at
    assert [value for value in values if value is not None] == expected
    assert (stream.pending, values.count(None)) == ("", unreadable_count)


def test_object_split_at_each_byte():
    """An object over many lines is split at each byte in turn, and neither it nor the next one is dropped.

    One of its strings looks like the end of an object and the beginning of the next.
    """
    expected = [OBJECTS["text"], {"revision": 3, "members": [{"id": "b"}, {}]}]
    data = "".join(json.dumps(value, indent=1, ensure_ascii=False) + "\n" for value in expected).encode()
    for cut in range(len(data)):
        stream = JsonStream()
        assert stream.feed(data[:cut]) + stream.feed(data[cut:]) == expected, cut
