"""A seeded soak of the platform's real programs: `python -m soak SEED`.

Hosts run as processes on loopback addresses, beside simulated engines and callers. A
schedule drawn from the seed disturbs them in overlapping series, and checks compare
what callers and engines saw with what is promised.
"""

import sys
from pathlib import Path

# The platform's package is not installed; its programs add this folder as well.
sys.path.append(str(Path(__file__).resolve().parents[1] / "platform"))
