"""Loads scripts of support/ as modules, for their tests."""
import importlib.machinery
import importlib.util
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]


def load(name):
    path = str(ROOT / "support" / name)
    loader = importlib.machinery.SourceFileLoader(name.replace("-", "_"), path)
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(loader.name, loader))
    loader.exec_module(module)
    return module
