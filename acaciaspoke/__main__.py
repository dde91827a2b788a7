"""Runs the command line."""

from acaciaspoke.ui import main

if __name__ == "__main__":
    main()
