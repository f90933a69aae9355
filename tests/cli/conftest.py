import json
from types import SimpleNamespace

import pytest

from bitterntiller.cli import const
from bitterntiller.cli.tool import run
from tests.components.config.builders import config_document


@pytest.fixture
def tool(tmp_path, monkeypatch, capsys):
    """Return a function that runs the tool beside a configuration and a key file."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv(const.ENV_OPERATOR, raising=False)
    monkeypatch.setenv(const.ENV_KEY_FILE, "operator.key")
    (tmp_path / "operator.key").write_text("operator-key\n")
    (tmp_path / "config.json").write_text(json.dumps(config_document(), indent=1))

    def run_tool(*arguments):
        capsys.readouterr()
        code = run([str(argument) for argument in arguments])
        out, err = capsys.readouterr()
        return SimpleNamespace(code=code, out=out, err=err)

    return run_tool
