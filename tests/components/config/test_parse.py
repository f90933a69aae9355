import pytest

from bitterntiller.components.config.errors import ConfigError
from bitterntiller.components.config.models import Selector
from bitterntiller.components.config.parse import parse_config
from bitterntiller.core.problems import join_path
from tests.components.config.builders import (
    TOKEN_A,
    TOKEN_B,
    config_document,
    service,
    workspace,
)


def keys_of_problems(document):
    with pytest.raises(ConfigError) as caught:
        parse_config(document, 1)
    return [join_path(problem.path) for problem in caught.value.problems]


def test_config_is_parsed():
    selector = {"match": {"model": ["canopy"]}, "exclude": {"zone": ["yeka"]}}
    document = config_document(
        services={
            "llm": service(
                selector=selector,
                idempotent_paths=["/v1/chat/completions/draft"],
                labels={"order_seconds": "120"},
            )
        },
        labels={"zone": ["bole", "yeka"]},
    )
    config = parse_config(document, 7)
    assert config.version == 7
    found = config.services_by_name["llm"]
    assert found.selector == Selector({"model": ("canopy",)}, {"zone": ("yeka",)})
    assert found.idempotent_paths == ("/v1/chat/completions/draft",)
    assert config.tiers_by_name["bronze"].rank == 1
    assert config.workspaces_by_token[TOKEN_A].name == "foresters"
    assert config.values_by_label == {"zone": ("bole", "yeka")}


def test_empty_document_is_valid():
    assert parse_config({}, 0).services_by_name == {}


@pytest.mark.parametrize("document", [None, [], 3, {"service": {}}, {"tiers": 3}])
def test_documents_of_other_types_are_rejected(document):
    assert keys_of_problems(document)


SERVICE = "services.llm"
WORKSPACE = "workspaces.foresters"


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"kind": "thing"}, f"{SERVICE}.kind"),
        ({"kind": []}, f"{SERVICE}.kind"),
        ({"paths": []}, f"{SERVICE}.paths"),
        ({"paths": ["v1"]}, f"{SERVICE}.paths[0]"),
        ({"paths": ["/v1", "/v1"]}, f"{SERVICE}.paths"),
        ({"idempotent_paths": ["/v2"]}, f"{SERVICE}.idempotent_paths[0]"),
        ({"selector": {"match": {"zone": "bole"}}}, f"{SERVICE}.selector.match.zone"),
        ({"selector": {"match": {"z": [1]}}}, f"{SERVICE}.selector.match.z[0]"),
        ({"selector": {"exclude": {"z": []}}}, f"{SERVICE}.selector.exclude.z"),
        ({"selector": {"matches": {}}}, f"{SERVICE}.selector.matches"),
        ({"selector": None}, f"{SERVICE}.selector"),
        ({"labels": {"order_seconds": "soon"}}, f"{SERVICE}.labels.order_seconds"),
        ({"labels": {"note": "\ud800"}}, f"{SERVICE}.labels.note"),
        ({"labels": {"note": 3}}, f"{SERVICE}.labels.note"),
    ],
)
def test_bad_service_is_reported_at_its_key(changes, key):
    document = config_document(services={"llm": service(**changes)})
    assert keys_of_problems(document) == [key]


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"tier": "silver"}, f"{WORKSPACE}.tier"),
        ({"services": ["llm", "map"]}, f"{WORKSPACE}.services[1]"),
        ({"token_sha256": [TOKEN_A[1:]]}, f"{WORKSPACE}.token_sha256[0]"),
        ({"token_sha256": ["A" * 64]}, f"{WORKSPACE}.token_sha256[0]"),
        ({"token_sha256": [TOKEN_A, TOKEN_A]}, f"{WORKSPACE}.token_sha256"),
        ({"labels": {"share": "0"}}, f"{WORKSPACE}.labels.share"),
        ({"labels": {"share": "nan"}}, f"{WORKSPACE}.labels.share"),
        ({"labels": {"rate": "-1"}}, f"{WORKSPACE}.labels.rate"),
        ({"labels": {"concurrency": "1.5"}}, f"{WORKSPACE}.labels.concurrency"),
        ({"labels": {"concurrency": 64}}, f"{WORKSPACE}.labels.concurrency"),
    ],
)
def test_bad_workspace_is_reported_at_its_key(changes, key):
    document = config_document(workspaces={"foresters": workspace(**changes)})
    assert keys_of_problems(document) == [key]


def test_ranks_paths_and_tokens_are_unique():
    tier = {"rank": 0, "deadline_ms": 1}
    document = config_document(
        services={"llm": service(), "other": service()},
        tiers={"gold": tier, "silver": tier},
        workspaces={"a": workspace(token_sha256=[TOKEN_B]), "b": workspace()}
        | {"c": workspace(token_sha256=[TOKEN_A, TOKEN_B])},
    )
    assert keys_of_problems(document) == [
        "services.other.paths[0]",
        "tiers.silver.rank",
        "workspaces.c.token_sha256[0]",
        "workspaces.c.token_sha256[1]",
    ]


def test_all_problems_are_reported_together():
    document = config_document(
        services={"bad name": service(), "llm": service(kind="x")},
        tiers={"gold": {"rank": -1}},
    )
    found = keys_of_problems(document)
    assert set(found) >= {"services.bad name", "services.llm.kind", "tiers.gold.rank"}
    assert "tiers.gold.deadline_ms" in found
