"""Finds names in the source that the pages for operators must have."""

import ast
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "bitterntiller"
METRIC_METHODS = ("count", "timing", "gauge")


def constants(path, prefix):
    """Return the module-level constants of a file that begin with prefix."""
    found = {}
    for node in ast.parse(path.read_text()).body:
        if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Constant):
            continue
        for target in node.targets:
            if isinstance(target, ast.Name) and target.id.startswith(prefix):
                found[target.id] = node.value.value
    return found


def metric_names():
    """Return the metrics of all modules: constants, and literals in calls."""
    names = set()
    for path in PACKAGE.rglob("*.py"):
        names.update(constants(path, "METRIC_").values())
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _is_metric(node.func) and node.args:
                names.add(_literal_start(node.args[0]))
    return names - {""}


def _is_metric(function):
    if not isinstance(function, ast.Attribute) or function.attr not in METRIC_METHODS:
        return False
    owner = function.value
    name = owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, "id", "")
    return name in ("metrics", "_metrics")


def _literal_start(argument):
    """Return a literal name, or the part of an f-string before its first value."""
    if isinstance(argument, ast.JoinedStr):
        argument = argument.values[0]
    if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
        return argument.value.rstrip(".")
    return ""
