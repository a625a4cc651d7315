"""Starts one instance on the users' platform from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from caperridge.platform.serve import main

if __name__ == "__main__":
    main()
