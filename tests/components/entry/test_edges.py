"""Property tests of parsing callers' requests, with arbitrary input."""

import hashlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.config.models import (
    Config,
    Selector,
    Service,
    Tier,
    Workspace,
)
from bitterntiller.components.entry.estimate import estimate
from bitterntiller.components.entry.identify import identify
from bitterntiller.components.entry.models import IdentifiedRequest, ReceivedRequest
from bitterntiller.components.entry.refusal_responses import (
    refusal_body,
    refusal_headers,
)
from bitterntiller.components.entry.request_parsing import parse_request
from bitterntiller.components.http.models import RequestHead
from bitterntiller.core.outcomes import Ending, Outcome, Reason

TOKEN = "tök"
OWN = ["authorization", "x-tier", "x-deadline-ms", "idempotency-key", "x-other"]
HEADERS = st.lists(
    st.tuples(st.sampled_from(OWN).map(str.encode), st.binary(max_size=40)), max_size=6
)


def config() -> Config:
    service = Service("llm", "engine", ("/v1",), (), Selector(), {})
    tiers = {
        name: Tier(name, rank, 1000, Selector())
        for rank, name in enumerate(["gold", "silver", "bronze"])
    }
    workspace = Workspace("wards", (), "silver", ("llm",), Selector(), {})
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    return Config(1, {"llm": service}, tiers, {"wards": workspace}, {digest: workspace})


def ask(path: str, **headers: str) -> IdentifiedRequest | Ending:
    named = {"authorization": f"Bearer {TOKEN}"} | headers
    lines = [(name.replace("_", "-").encode(), v.encode()) for name, v in named.items()]
    received = parse_request(RequestHead("POST", path, lines, b"1.1"), 5.0)
    assert isinstance(received, ReceivedRequest)
    return identify(received, config())


@given(HEADERS, st.text(st.characters(min_codepoint=33, max_codepoint=126)))
def test_any_headers_give_a_request_or_an_ending(headers, path):
    head = RequestHead("POST", "/" + path, headers, b"1.1")
    received = parse_request(head, 5.0)
    if isinstance(received, ReceivedRequest):
        received = identify(received, config())
    if isinstance(received, Ending):
        assert received.outcome is Outcome.NOT_RUN
        assert 400 <= received.status < 500


def test_token_beyond_ascii():
    """A workspace whose token contains an umlaut gets 401 on every host."""
    assert isinstance(ask("/v1/chat"), IdentifiedRequest)


@pytest.mark.parametrize(
    "path",
    ["/v1/../admin", "/v1/%2e%2E/admin", "/v1/..%2fadmin", "/v1/./a", "/v1\\..\\a"],
)
def test_path_outside_its_prefix(path):
    """A workspace reaches paths of an upstream outside its service.

    The service is selected by the prefix of the unresolved path; the upstream resolves
    the dot segments and serves another path.
    """
    ending = ask(path)
    assert isinstance(ending, Ending)
    assert ending.status == 400


def test_path_with_dots_in_segment_names():
    assert isinstance(ask("/v1/a.b/..c/v1.2"), IdentifiedRequest)


def test_tier_is_limited_to_that_of_the_workspace():
    assert ask("/v1/a", x_tier="gold").status == 403
    assert ask("/v1/a", x_tier="bronze").tier.name == "bronze"
    assert ask("/v1/a", x_tier="none").status == 400
    assert ask("/v1/a", x_tier="").tier.name == "silver"


def test_deadline_of_zero_expires_on_arrival():
    assert ask("/v1/a", x_deadline_ms="0").deadline == 5.0


@given(st.binary(max_size=200))
def test_any_body_has_an_estimate(body):
    work = estimate("engine", body)
    assert work.prompt_tokens >= 1
    assert work.output_tokens >= 1


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["prompt", "messages", "content", "max_tokens", "stream"]),
            inner,
            max_size=4,
        )
    ),
)


@given(JSON)
def test_any_json_has_an_estimate(document):
    estimate("engine", json.dumps(document).encode())


def test_deeply_nested_content_has_an_estimate():
    for depth in range(100, 1100, 3):
        content = "[" * depth + "]" * depth
        body = f'{{"messages": [{{"role": "user", "content": {content}}}]}}'
        estimate("engine", body.encode())


@given(
    st.sampled_from(list(Outcome)),
    st.sampled_from(list(Reason)),
    st.none() | st.floats(0, 1e6),
    st.text(),
)
def test_refusal_states_outcome_detail_and_retry_after(
    outcome, reason, retry_after, detail
):
    ending = Ending(outcome, reason, 503, retry_after, detail)
    document = json.loads(refusal_body(ending, "r1"))
    assert document["outcome"] == outcome
    assert document["detail"] == detail
    headers = dict(refusal_headers(ending, "r1"))
    assert headers[b"x-outcome"] == outcome.encode()
    assert (b"retry-after" in headers) == (retry_after is not None)
    if retry_after is not None:
        assert int(headers[b"retry-after"]) >= max(1, retry_after)
