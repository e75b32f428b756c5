"""`python -m coraldeal.benchlink`: serve the simulator on standard input and output."""

import sys

from coraldeal.benchlink.link import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
