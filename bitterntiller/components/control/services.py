"""The services of the latest configuration."""

from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.validate import ParseConfig


class ServiceNames:
    """Caches the service names of the current configuration version."""

    def __init__(self, configuration: ConfigurationState, parse: ParseConfig) -> None:
        self._configuration = configuration
        self._parse = parse
        self._version = 0
        self._names: frozenset[str] = frozenset()

    def names(self) -> frozenset[str]:
        """Return the service names; empty before the first configuration."""
        configuration = self._configuration
        if self._version != configuration.version:
            parsed = self._parse(configuration.document, configuration.version)
            self._names = frozenset(parsed.services_by_name)
            self._version = configuration.version
        return self._names
