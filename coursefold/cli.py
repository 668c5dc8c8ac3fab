"""The command line."""

import logging
import os
import sys
from pathlib import Path

import click

from coursefold import __version__
from coursefold.settings import Settings, SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _settings(path: Path) -> Settings:
    try:
        return load(path)
    except SettingsError as wrong:
        print(f"coursefold: {wrong}", file=sys.stderr)
        raise SystemExit(2) from None


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="coursefold")
def main() -> None:
    """A cluster scheduler with a queue-sized fleet."""


@main.command()
@click.option("--config", required=True, type=click.Path(path_type=Path), help="Settings (TOML).")
def serve(config: Path) -> None:
    """Run a controller until it is killed."""
    settings = _settings(config)
    level = os.environ.get("LOG_LEVEL", "info")
    logging.basicConfig(
        level=LEVELS.get(level, logging.INFO),
        stream=sys.stderr,
        format="%(levelname)s %(name)s: %(message)s",
    )
    from coursefold.service import run  # tornado is imported only when it is needed

    run(settings)


@main.command("check-config")
@click.argument("config", type=click.Path(path_type=Path))
def check_config(config: Path) -> None:
    """Check a settings file; exit code 2 names the first fault."""
    settings = _settings(config)
    click.echo(f"{config}: ok, {settings.member} with {len(settings.siblings)} siblings")
