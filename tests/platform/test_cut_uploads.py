"""An answer that breaks off while its request is still written is not a whole one."""

import curio
import pytest

from tests.platform.cut_uploads import (
    CHUNKS,
    CUT,
    LENGTH,
    ROUTE_KINDS,
    WHOLE,
    async_outcomes,
)
from tests.platform.upload_engine import CUT as CUT_ENDINGS
from tests.platform.upload_engine import Ending

TIMES = 4


@pytest.mark.parametrize("kind", ROUTE_KINDS)
@pytest.mark.parametrize("ending", CUT_ENDINGS)
def test_answer_cut_during_an_upload_is_not_passed_on_as_whole(ending, kind):
    """A part of an answer must not be taken for the whole, nor its request refused."""
    framing = LENGTH if kind == ROUTE_KINDS[0] else CHUNKS
    found = curio.run(async_outcomes, ending, kind, framing, TIMES)
    assert found.total() == TIMES
    assert set(found) <= {"502", CUT}


@pytest.mark.parametrize("kind", ROUTE_KINDS)
@pytest.mark.parametrize("ending", [Ending.LINGERS, Ending.READS_ALL])
def test_early_answer_whose_engine_reads_the_upload_is_whole(ending, kind):
    """An answer that ends with its connection must not be lost in the upload."""
    found = curio.run(async_outcomes, ending, kind, LENGTH, TIMES)
    assert found == {WHOLE: TIMES}
