"""Setting up the log: absl.logging to standard error."""

import logging as standard_logging

from absl import flags, logging

_VERBOSITY_BY_LEVEL = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def set_up_logs(level: str) -> None:
    """Log lines of this level and above to standard error.

    Standard logging of libraries goes the same way.
    """
    # absl takes its settings from flags, which this process has none of; while
    # they count as not parsed, absl puts a warning before the first line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_VERBOSITY_BY_LEVEL[level])
    logging.set_stderrthreshold("debug")
    # curio warns whenever an operation ends just as its timeout runs out, which
    # is an everyday race here and no change of state.
    standard_logging.getLogger("curio").setLevel(standard_logging.ERROR)
