from bench.arrivals import make_requests
from bench.client import Result
from bench.deployments import ZAF_ENGINES
from bench.replay import classify_outcome, make_prompt, summarize
from bitterntiller.components.entry.estimate import prefix_hashes
from tests.bench.builders import make_request


def make_result(**fields):
    values = {
        "sent": True,
        "status": 200,
        "outcome": "done",
        "reason": "",
        "first_s": 0.1,
        "total_s": 1.0,
        "cut": False,
        "body": b"",
    }
    return Result(**{**values, **fields})


def test_prompts_share_prefixes_as_in_the_simulation():
    requests = make_requests(ZAF_ENGINES, 10.0, 60.0, False, 3)
    names_by_hash = {}
    for request in requests:
        prompt = make_prompt(request).encode()
        assert len(prompt) == 4 * request.prompt
        hashes = prefix_hashes(prompt)
        for real, modelled in zip(hashes, request.prefix_hashes, strict=False):
            names_by_hash.setdefault(real, set()).add(modelled)
    assert all(len(names) == 1 for names in names_by_hash.values())


def test_only_a_complete_response_in_time_is_useful():
    request = make_request(deadline=2.0)
    assert classify_outcome(request, make_result()) == "useful"
    assert classify_outcome(request, make_result(total_s=2.1)) == "late"
    assert classify_outcome(request, make_result(cut=True)) == "cut"
    assert classify_outcome(request, make_result(cut=True, total_s=2.0)) == "late"
    assert (
        classify_outcome(request, make_result(outcome="not-run", reason="shed"))
        == "shed"
    )
    assert classify_outcome(request, make_result(outcome="", status=503)) == "503"


def test_summary_counts_each_request_once():
    results = [
        (make_request(1), make_result()),
        (make_request(2), make_result(total_s=3.0)),
        (make_request(3, tier="silver", tier_rank=1), make_result(cut=True)),
    ]
    summary = summarize(results)
    assert list(summary) == ["gold", "silver"]
    assert summary["gold"]["offered"] == 2
    assert summary["gold"]["total_s"] == 3.0
    assert summary["silver"]["by_outcome"] == {"cut": 1}
