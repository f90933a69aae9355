"""Handles the requests of operators."""

from collections.abc import Awaitable, Callable
from typing import Any

from bitterntiller.components.http.models import HttpRequest, HttpResponse
from bitterntiller.components.operator import const, requests, responses
from bitterntiller.components.operator.errors import RefusedRequestError
from bitterntiller.components.operator.placement import PlacementFinder
from bitterntiller.core.interfaces import ControlCalls, CrashRegister, Metrics
from bitterntiller.protocol import messages

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class OperatorCoordinator:
    """An http RequestHandler; key is the operator key, dump returns the state dump."""

    def __init__(
        self,
        key: bytes,
        control: ControlCalls,
        dump: Callable[[], dict[str, Any]],
        metrics: Metrics,
        crashes: CrashRegister,
        placements: PlacementFinder,
    ) -> None:
        self._key = key
        self._control = control
        self._dump = dump
        self._metrics = metrics
        self._crashes = crashes
        self._placements = placements
        self._handlers_by_path: dict[str, dict[str, Handler]] = {
            const.PATH_CONFIG: {
                "GET": self._async_get_config,
                "PUT": self._async_put_config,
            },
            const.PATH_STATE: {"GET": self._async_get_state},
            const.PATH_CONTROL: {"GET": self._async_get_control},
            const.PATH_REPAIR: {"POST": self._async_repair},
            const.PATH_ROLLOUTS: {
                "GET": self._async_get_rollouts,
                "POST": self._async_start_rollout,
            },
            const.PATH_CRASHES: {"GET": self._async_get_crashes},
            const.PATH_CRASHES_CLEAR: {"POST": self._async_clear_crashes},
            const.PATH_CRASHES_BLOCK: {"POST": self._async_block},
            const.PATH_PLACEMENT: {"POST": self._async_find_placement},
        }

    async def async_handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request; the key is checked before anything else."""
        if not requests.has_key(request, self._key):
            self._metrics.count(const.METRIC_WRONG_KEY)
            text = "the operator key is missing or wrong"
            response = responses.problem_response(401, const.STATUS_UNAUTHORIZED, text)
            response.headers.append((b"www-authenticate", b"Bearer"))
            return response
        self._metrics.count(const.METRIC_REQUESTS)
        try:
            return await self._find(request)(request)
        except RefusedRequestError as error:
            self._metrics.count(const.METRIC_BAD_REQUEST)
            return responses.problem_response(
                error.status, const.STATUS_BAD_REQUEST, error.text
            )

    def _find(self, request: HttpRequest) -> Handler:
        handlers_by_method = self._handlers_by_path.get(request.path)
        if handlers_by_method is None:
            raise RefusedRequestError(404, f"there is no {request.path}")
        handler = handlers_by_method.get(request.method)
        if handler is None:
            allowed = ", ".join(handlers_by_method)
            raise RefusedRequestError(405, f"{request.path} takes {allowed}")
        return handler

    async def _async_get_config(self, _request: HttpRequest) -> HttpResponse:
        return responses.config_response(
            await self._async_call(messages.GetConfig(unused=False))
        )

    async def _async_put_config(self, request: HttpRequest) -> HttpResponse:
        change = requests.read_change(request)
        message = messages.Change(**change._asdict())
        return responses.change_response(await self._async_call(message))

    async def _async_get_state(self, _request: HttpRequest) -> HttpResponse:
        return responses.json_response(200, self._dump())

    async def _async_get_control(self, _request: HttpRequest) -> HttpResponse:
        message = messages.ControlStatus(unused=False)
        return responses.control_response(await self._async_call(message))

    async def _async_repair(self, request: HttpRequest) -> HttpResponse:
        message = messages.Repair(**requests.read_repair(request)._asdict())
        return responses.repair_response(await self._async_call(message))

    async def _async_get_rollouts(self, _request: HttpRequest) -> HttpResponse:
        message = messages.GetRollout(pool="")
        return responses.rollouts_response(await self._async_call(message))

    async def _async_start_rollout(self, request: HttpRequest) -> HttpResponse:
        order = requests.read_rollout(request)
        message = messages.StartRollout(**order._asdict())
        return responses.rollout_response(await self._async_call(message))

    async def _async_get_crashes(self, _request: HttpRequest) -> HttpResponse:
        return responses.json_response(200, self._crashes.describe())

    async def _async_clear_crashes(self, request: HttpRequest) -> HttpResponse:
        fingerprint = requests.read_fingerprint(request)
        crashes = self._crashes
        if not (crashes.has_crashes(fingerprint) or crashes.is_blocked(fingerprint)):
            raise RefusedRequestError(404, "no request with crashes has it")
        await crashes.async_release(fingerprint)
        text = "its crashes count no more; all hosts are told"
        return responses.json_response(200, {"status": const.STATUS_DONE, "text": text})

    async def _async_block(self, request: HttpRequest) -> HttpResponse:
        order = requests.read_block(request)
        await self._crashes.async_block(order.fingerprint, order.seconds)
        text = f"it is kept from upstreams for {order.seconds:g} s; all hosts are told"
        return responses.json_response(200, {"status": const.STATUS_DONE, "text": text})

    async def _async_find_placement(self, request: HttpRequest) -> HttpResponse:
        query = requests.read_placement(request)
        return responses.json_response(200, await self._placements.async_find(query))

    async def _async_call(self, message: Any) -> Any:
        return await self._control.async_call_leader(message, const.CONTROL_TIMEOUT)
