import json
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.core.document import parse_document
from bitterntiller.core.positions import find_positions
from bitterntiller.core.problems import DocumentError

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(codec="utf-8"), max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text('/*"\\ab \n', max_size=4), inner, max_size=3)
    ),
    max_leaves=12,
)
COMMENTS = st.sampled_from(["", " ", "\n", "// it's \"\n", '/* [" // \n*/', "/***/"])
TOKENS = st.sampled_from(
    ["{", "}", "[", "]", ",", ":", '"', '"a"', "1", "-", "0", ".5", "e9", "1e999"]
    + ["true", "null", "NaN", "/", "//", "/*", "*/", "\\", "\n", " ", '"\ud83d"', "'"]
)


def both_accept(text):
    """Assert that document and positions agree; return whether both accept."""
    positions = find_positions(text, "x")
    try:
        value = parse_document(text, "x").value
    except DocumentError as error:
        assert positions.problems
        assert error.problems == positions.problems
        return False
    assert positions.problems == []
    assert json.dumps(positions.value) == json.dumps(value)
    return True


@given(value=VALUES, comment=COMMENTS)
def test_value_comes_back_through_comments(value, comment):
    text = json.dumps(value, indent=1, ensure_ascii=False)
    lines = [line + comment for line in text.split("\n")]
    text = "\n".join([comment, *lines])
    assert both_accept(text)
    assert json.dumps(parse_document(text, "x").value) == json.dumps(value)


@given(tokens=st.lists(TOKENS, max_size=8))
def test_reader_and_finder_of_lines_agree_on_what_is_good(tokens):
    both_accept("".join(tokens))


@pytest.mark.parametrize(
    "text", ['{"a":1,"a":2}', "9" * 5000, "[1, -1e400]", '["\\ud800"]']
)
def test_value_that_a_plain_decoder_accepts_is_rejected(text):
    assert not both_accept(text)


def test_valid_file_is_read_without_loading_the_parser():
    program = (
        "import sys\n"
        "from bitterntiller.core.document import parse_document\n"
        "assert parse_document('{\"a\": 1} // x', 'f').value == {'a': 1}\n"
        "assert 'lark' not in sys.modules\n"
    )
    subprocess.run([sys.executable, "-c", program], check=True)
