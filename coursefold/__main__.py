"""Entry point of `python3 -m coursefold`: runs the command line interface."""

from coursefold.cli import main

main()
