#!/usr/bin/env python3
"""A short soak with a fixed seed; soak.py plays longer ones and others."""

import sys

from soak import play

if __name__ == "__main__":
    sys.exit(0 if play(sys.argv[1], 1, 45, 4, "127.20") else 1)
