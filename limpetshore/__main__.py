"""Run the command line with `python -m limpetshore`."""

from limpetshore.cli import main

main()
