"""Entry point of ``python -m caperridge``."""

from caperridge.cli.main import main

main()
