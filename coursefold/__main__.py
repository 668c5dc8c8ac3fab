"""`python3 -m coursefold`."""

from coursefold.cli import main

main()
