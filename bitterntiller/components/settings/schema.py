"""The schema of a settings file, and checks that involve several keys."""

from typing import Any

import voluptuous as vol

from bitterntiller.components.settings import const
from bitterntiller.components.settings.models import Address, Limits, Timings
from bitterntiller.core.clock import MAX_CLOCK_DRIFT
from bitterntiller.core.problems import KeyPath, Problem
from bitterntiller.core.schema import integer, ip_and_port, name, number, positive


def address(value: Any) -> Address:
    """Validate "IP:port" and return its Address."""
    return Address(*ip_and_port(value))


def _fraction(value: Any) -> float:
    found = number(value)
    if not 0 <= found < 1:
        raise vol.Invalid("must be at least 0 and below 1")
    return found


def _path(value: Any) -> str:
    if not isinstance(value, str) or not value or "\0" in value:
        raise vol.Invalid("expected a path")
    return value


def _roles(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not value:
        raise vol.Invalid("expected a list of at least one role")
    if len(set(map(str, value))) != len(value):
        raise vol.Invalid("contains a duplicate role")
    return tuple(value)


def _limit_validators() -> dict[vol.Optional, Any]:
    checks: dict[vol.Optional, Any] = {
        vol.Optional(field): integer(1) for field in Limits._fields
    }
    checks[vol.Optional(const.CONF_RESERVED_FRACTION)] = _fraction
    return checks


SCHEMA = vol.Schema(
    {
        vol.Required(const.CONF_HOST): name,
        vol.Required(const.CONF_ZONE): name,
        vol.Optional(const.CONF_REGION, default=const.DEFAULT_REGION): name,
        vol.Required(const.CONF_ROLES): vol.All(
            [vol.In(const.ROLES, msg=f"expected one of {', '.join(const.ROLES)}")],
            _roles,
        ),
        vol.Required(const.CONF_LISTEN): {
            vol.Required(const.CONF_CALLER): address,
            vol.Required(const.CONF_INTERNAL): address,
            vol.Optional(const.CONF_ADVERTISED): address,
            vol.Required(const.CONF_OPERATOR): address,
            vol.Optional(const.CONF_METRICS): address,
        },
        vol.Required(const.CONF_KEYS): {
            vol.Required(const.CONF_OPERATOR): _path,
            vol.Required(const.CONF_INTERNAL): _path,
            vol.Required(const.CONF_UPSTREAM): _path,
        },
        vol.Required(const.CONF_CONTROL): {
            vol.Required(const.CONF_ADDRESSES): vol.All(
                [address], vol.Length(min=1, msg="expected at least one address")
            ),
            vol.Optional(const.CONF_BOOTSTRAP, default=list): [name],
            vol.Optional(
                const.CONF_SNAPSHOT_ENTRIES, default=const.DEFAULT_SNAPSHOT_ENTRIES
            ): integer(1),
        },
        vol.Optional(const.CONF_DATA_FOLDER): _path,
        vol.Optional(const.CONF_STATSD): address,
        vol.Optional(const.CONF_LIMITS, default=dict): _limit_validators(),
        vol.Optional(const.CONF_TIMINGS, default=dict): {
            vol.Optional(field): positive for field in Timings._fields
        },
        vol.Optional(const.CONF_DISPATCH, default=dict): {
            vol.Optional(
                const.CONF_UNEVEN_UPSTREAMS, default=const.DEFAULT_UNEVEN_UPSTREAMS
            ): vol.In(
                const.UNEVEN_UPSTREAMS,
                msg=f"expected one of {', '.join(const.UNEVEN_UPSTREAMS)}",
            )
        },
        vol.Optional(const.CONF_LOG_LEVEL, default=const.DEFAULT_LOG_LEVEL): vol.In(
            const.LOG_LEVELS, msg=f"expected one of {', '.join(const.LOG_LEVELS)}"
        ),
    }
)


def find_cross_problems(checked: dict[str, Any]) -> list[Problem]:
    """Return the problems that involve several keys."""
    return [
        *_find_control_problems(checked),
        *_find_listen_problems(checked[const.CONF_LISTEN]),
        *_find_timing_problems(Timings(**checked[const.CONF_TIMINGS])),
    ]


def _find_control_problems(checked: dict[str, Any]) -> list[Problem]:
    problems = []
    control = checked[const.CONF_CONTROL]
    for key in (const.CONF_ADDRESSES, const.CONF_BOOTSTRAP):
        if len(set(control[key])) != len(control[key]):
            path = (const.CONF_CONTROL, key)
            problems.append(Problem(path, "contains a duplicate"))
    if const.ROLE_CONTROL not in checked[const.CONF_ROLES]:
        return problems
    if const.CONF_DATA_FOLDER not in checked:
        text = "required for the control role, but not given"
        problems.append(Problem((const.CONF_DATA_FOLDER,), text))
    listen = checked[const.CONF_LISTEN]
    own = listen.get(const.CONF_ADVERTISED, listen[const.CONF_INTERNAL])
    if own not in control[const.CONF_ADDRESSES]:
        path = (const.CONF_CONTROL, const.CONF_ADDRESSES)
        text = f"must contain this host's internal address {own}"
        problems.append(Problem(path, text))
    return problems


def _find_listen_problems(listen: dict[str, Address]) -> list[Problem]:
    problems = []
    keys_by_port: dict[int, str] = {}
    for key, found in listen.items():
        other = keys_by_port.setdefault(found.port, key)
        shared = {found.ip, listen[other].ip}
        if other != key and (len(shared) == 1 or const.UNSPECIFIED_IP in shared):
            text = f"is the same address as {const.CONF_LISTEN}.{other}"
            problems.append(Problem((const.CONF_LISTEN, key), text))
    # Other hosts connect to this address; with 0.0.0.0 each of them would connect to
    # itself.
    peer_address = listen.get(const.CONF_ADVERTISED, listen[const.CONF_INTERNAL])
    if peer_address.ip == const.UNSPECIFIED_IP:
        path = (const.CONF_LISTEN, const.CONF_INTERNAL)
        problems.append(Problem(path, "must be the address that other hosts call"))
    return problems


def _find_timing_problems(timings: Timings) -> list[Problem]:
    """Check the relations between timings.

    A lease shorter than two heartbeats expires when one is lost, and so would a
    config_apply as short while a configuration is loaded. If an owner's lease
    were not longer than a node's lease, its pool could be reassigned while entry hosts
    still follow the old owner. Followers whose election timeout is not longer than the
    leader's heartbeats take, or equal on all, start one election after another.
    """

    def path(field: str) -> KeyPath:
        return (const.CONF_TIMINGS, field)

    problems = []
    if timings.lease <= 2 * timings.heartbeat:
        problems.append(Problem(path("lease"), "must be above twice heartbeat"))
    if timings.config_apply <= 2 * timings.heartbeat:
        problems.append(Problem(path("config_apply"), "must be above twice heartbeat"))
    if timings.owner_lease * (1 - MAX_CLOCK_DRIFT) <= timings.lease:
        text = f"must be above lease by more than {MAX_CLOCK_DRIFT:.0%}"
        problems.append(Problem(path("owner_lease"), text))
    if timings.election_max <= timings.election_min:
        problems.append(Problem(path("election_max"), "must be above election_min"))
    if timings.election_min <= 2 * timings.raft_heartbeat:
        text = "must be above twice raft_heartbeat"
        problems.append(Problem(path("election_min"), text))
    return problems
