"""Imports between the packages of coursefold follow the layers."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "coursefold"

# Packages that each layer may import; it must not import any others.
ALLOWED_IMPORTS = {
    "protocol": set(),
    "policy": set(),
    "storage": {"protocol"},
    "coordination": {"protocol", "storage", "policy"},
    "cells": {"protocol", "storage", "coordination"},
    "shares": {"protocol", "storage", "coordination"},
    "transport": {"protocol", "storage", "cells"},
}
SHARED_MODULES = {"settings", "histograms", "coursefold"}  # outside the layers; all may import them


def list_imports(path: Path) -> set[str]:
    """Returns the packages and modules directly below `coursefold` that a file imports from."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            names |= _top_level_name(node.module)
        elif isinstance(node, ast.Import):
            for alias in node.names:
                names |= _top_level_name(alias.name)
    return names


def _top_level_name(module: str) -> set[str]:
    """Returns the name below `coursefold`, `coursefold` itself, or nothing for other packages."""
    parts = module.split(".")
    if parts[0] != "coursefold":
        return set()
    return {parts[1] if len(parts) > 1 else "coursefold"}


@pytest.mark.parametrize("layer", sorted(ALLOWED_IMPORTS))
def test_layer_imports_only_allowed_layers(layer: str) -> None:
    """An import of a higher layer would make the lower one depend on it and hard to test alone."""
    files = sorted((PACKAGE / layer).glob("*.py"))
    assert files
    allowed = ALLOWED_IMPORTS[layer] | SHARED_MODULES | {layer}
    forbidden = {file.name: sorted(list_imports(file) - allowed) for file in files}
    assert {name: found for name, found in forbidden.items() if found} == {}


def test_every_package_has_a_layer() -> None:
    """A package that is not listed would not be checked."""
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert packages == set(ALLOWED_IMPORTS)
