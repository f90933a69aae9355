"""Probes of upstreams by the service that they belong to."""

from bitterntiller.components.entry.dialect import HttpDialect
from bitterntiller.components.http.models import ResponseHead
from bitterntiller.components.tunnels.probes import ProbeRequest
from bitterntiller.core.interfaces import ConfigView, SentRequest


class ServiceProbes:
    """A ProbeDialect: the dialect's probes for the services of the configuration."""

    def __init__(self, dialect: HttpDialect, config: ConfigView) -> None:
        self._dialect = dialect
        self._config = config

    def probe_request(self, pool: str) -> ProbeRequest | None:
        """Return the probe of a service's upstreams, None for an unknown service."""
        service = self._config.config.services_by_name.get(pool)
        return None if service is None else self._dialect.probe_request(service)

    def is_probe_answer(self, upstream: str, head: ResponseHead) -> bool:
        """Return whether the upstream itself has answered a probe."""
        return self._dialect.is_probe_answer(upstream, head)

    def identity_request(self, sent: SentRequest) -> ProbeRequest | None:
        """Return a probe whose answer says which process it is from."""
        service = self._config.config.services_by_name.get(sent.pool)
        if service is None:
            return None
        return self._dialect.identity_request(service, sent.upstream)

    def is_from_another_process(self, sent: SentRequest, head: ResponseHead) -> bool:
        """Return whether the answer shows that another process has sent it."""
        return self._dialect.is_from_another_process(
            sent.upstream, sent.incarnation, head
        )
