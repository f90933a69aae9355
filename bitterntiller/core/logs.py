"""Set-up of logging: absl.logging to standard error."""

import logging as standard_logging

from absl import flags, logging

_VERBOSITY_BY_LEVEL = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def set_up_logs(level: str) -> None:
    """Log records of this level and above to standard error.

    This includes records of libraries that use the standard logging module.
    """
    # absl reads its settings from flags, which this process does not have. Unless
    # they are marked as parsed, absl writes a warning before the first line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_VERBOSITY_BY_LEVEL[level])
    logging.set_stderrthreshold("debug")
    # curio warns if an operation completes just as its timeout expires, which is a
    # frequent and harmless race here.
    standard_logging.getLogger("curio").setLevel(standard_logging.ERROR)
