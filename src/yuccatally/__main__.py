"""Entry point of ``python -m yuccatally``."""

from __future__ import annotations

from yuccatally.cli import main

if __name__ == "__main__":
    main.main()
