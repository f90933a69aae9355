"""What all tests share: how hypothesis chooses its examples."""

import os

from hypothesis import settings

# The same examples in each run, so that a run's verdict does not hang on chance;
# HYPOTHESIS_PROFILE=explore looks for new ones.
settings.register_profile("ci", derandomize=True, database=None, deadline=None)
settings.register_profile("explore", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
