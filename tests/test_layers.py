"""The layers import downwards only: what may be used by whom."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "coursefold"

# Layer: the others that it may import. What a layer does not name, it must not know.
LAYERS = {
    "protocol": set(),
    "policy": set(),
    "storage": {"protocol"},
    "coordination": {"protocol", "storage", "policy"},
    "cells": {"protocol", "storage", "coordination"},
    "shares": {"protocol", "storage", "coordination"},
    "transport": {"protocol", "storage", "cells"},
}
SHARED = {"settings", "histograms", "coursefold"}  # modules without a layer that all may use


def imported(path: Path) -> set[str]:
    """The names below `coursefold` that a module imports from."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            names |= _below(node.module)
        elif isinstance(node, ast.Import):
            for alias in node.names:
                names |= _below(alias.name)
    return names


def _below(module: str) -> set[str]:
    parts = module.split(".")
    if parts[0] != "coursefold":
        return set()
    return {parts[1] if len(parts) > 1 else "coursefold"}


@pytest.mark.parametrize("layer", sorted(LAYERS))
def test_a_layer_knows_only_those_below_it(layer: str) -> None:
    files = sorted((PACKAGE / layer).glob("*.py"))
    assert files
    allowed = LAYERS[layer] | SHARED | {layer}
    wrong = {file.name: sorted(imported(file) - allowed) for file in files}
    assert {name: found for name, found in wrong.items() if found} == {}


def test_every_package_is_a_layer() -> None:
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert packages == set(LAYERS)
