from types import SimpleNamespace

from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.operator import const
from bitterntiller.components.operator.diagnostics import make_dump


def test_a_failing_component_does_not_hide_the_others():
    """A component that raises in its diagnostics makes the whole dump fail.

    Operators need the dump just when something is wrong, so the error is included in
    place of that component.
    """
    settings = SimpleNamespace(host="a", zone="z", region="r", roles=("entry",))
    metrics = StatsdMetrics(None, "")
    upstream = {"name": "u", "service": "llm", "labels": {}}
    diagnostics = {
        "good": lambda: {"n": 1},
        "bad": lambda: {}["lost"],
        const.ATTR_UPSTREAMS: lambda: [upstream],
    }
    runtime = SimpleNamespace(
        settings=settings,
        metrics=metrics,
        incarnation="i",
        diagnostics_by_component=diagnostics,
    )
    dump = make_dump(runtime)()
    assert dump["upstreams"] == [upstream]
    assert dump["components"] == {
        "good": {"n": 1},
        "bad": {"error": "KeyError('lost')"},
    }
    assert metrics.counter(const.METRIC_DIAGNOSTICS_ERROR) == 1
