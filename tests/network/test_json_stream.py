"""JSON objects out of a stream of bytes."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.network.json_stream import JsonStream

OBJECTS = {
    "list": {"revision": 3, "members": [{"id": "b", "x": [1, {}, []]}, {}]},
    "nested": {"a": {"b": {}}},
    "text": {"id": 'a "}\\" { b', "umlaut": "ü}{", "n": None},
}
UNREADABLE = ["nonsense", "3", "{ no", '{"a": [']
INDENTS = [None, 0, 1, 4, "\t"]
ENDS = ["\n", "\r\n", "\n\n", " \n"]
PIECES = st.tuples(st.sampled_from([*OBJECTS, *UNREADABLE]), st.sampled_from(INDENTS), st.sampled_from(ENDS))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(PIECES, max_size=6), st.lists(st.integers(0, 4000), max_size=8))
def test_objects_in_any_layout(pieces: list[tuple[str, int | str | None, str]], cuts: list[int]):
    """Objects come out complete and in order whatever white space stands in them and wherever their bytes are cut.  What cannot
    be read takes none of them along, once another one follows it."""
    text, unreadable_count = "", 0
    expected = []
    for name, indent, end in pieces:
        if name in OBJECTS:
            expected.append(OBJECTS[name])
            text += json.dumps(OBJECTS[name], indent=indent, ensure_ascii=False) + end
        else:
            unreadable_count += 1
            text += name + "\n"
    # The last one that cannot be read shows by what follows.
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
    """An object over many lines is cut in two at each byte in turn, with what looks like an object's end and the next one's
    beginning in a string.  Neither it nor what follows is dropped."""
    expected = [OBJECTS["text"], {"revision": 3, "members": [{"id": "b"}, {}]}]
    data = "".join(json.dumps(value, indent=1, ensure_ascii=False) + "\n" for value in expected).encode()
    for cut in range(len(data)):
        stream = JsonStream()
        assert stream.feed(data[:cut]) + stream.feed(data[cut:]) == expected, cut
