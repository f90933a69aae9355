"""Decisions of an owner, and what it believes of upstreams, as events of the log."""

from bitterntiller.components.dispatch.models import Decision, Granted, Refused
from bitterntiller.components.dispatch.news import UpstreamNews
from bitterntiller.core import events


def tell_decision(pool: str, decision: Decision) -> None:
    """Tell a grant or a refusal, and what it was decided by."""
    if isinstance(decision, Granted):
        _tell_grant(pool, decision)
    else:
        _tell_refusal(pool, decision)


def tell_news(pool: str, news: UpstreamNews) -> None:
    """Tell that an upstream is given work from now on, or no more, and why."""
    probe_in = news.probe_in
    events.emit(
        "upstream-use",
        pool=pool,
        upstream=news.upstream,
        change=news.change,
        heard=round(news.heard, 1),
        worked=round(news.worked, 1),
        in_flight=news.in_flight,
        probe_in=None if probe_in is None else round(probe_in, 3),
    )


def tell_missed_end(pool: str, request_id: str, host: str) -> None:
    """Tell that a request had ended at its entry host without this owner's hearing."""
    events.emit("end-missed", request=request_id, pool=pool, entry_host=host)


def _tell_grant(pool: str, granted: Granted) -> None:
    basis = granted.basis
    events.emit(
        "granted",
        request=granted.request_id,
        pool=pool,
        upstream=granted.upstream,
        expected=round(basis.expected, 3) if basis else None,
        cached_tokens=basis.cached_tokens if basis else None,
        in_flight=basis.in_flight if basis else None,
        waiting=basis.waiting if basis else None,
        waited=round(basis.waited, 4) if basis else None,
        announced=round(basis.announced, 1) if basis else None,
        tokens=basis.tokens if basis else None,
    )


def _tell_refusal(pool: str, refused: Refused) -> None:
    basis = refused.basis
    events.emit(
        "given-up",
        request=refused.request_id,
        pool=pool,
        reason=refused.reason,
        retry_after=round(refused.retry_after, 3),
        tokens=basis.tokens if basis else None,
        upstreams=basis.upstreams if basis else None,
        waiting=basis.waiting if basis else None,
    )
