"""From crash news to messages of other hosts, and back."""

from bitterntiller.components.crashes.models import Clearing, Crash, CrashNews
from bitterntiller.protocol import messages


def report_message(
    news: CrashNews,
    host: str,
    now: float,
    pass_on: bool = False,
    digest: int | None = None,
) -> messages.CrashReport:
    """Return news as a message; pass_on asks the receiver to tell all hosts.

    With a digest it has no news and asks for that of the receiver.
    """
    return messages.CrashReport(
        host=host,
        pass_on=pass_on,
        digest=digest,
        crashes=[
            messages.CrashItem(
                fingerprint=item.fingerprint,
                upstream=item.upstream,
                incarnation=item.incarnation,
                age_ms=_age_ms(item.at, now),
            )
            for item in news.crashes
        ],
        clearings=[
            messages.ClearingItem(
                fingerprint=item.fingerprint, age_ms=_age_ms(item.at, now)
            )
            for item in news.clearings
        ],
    )


def crash_news(message: messages.CrashReport, now: float) -> CrashNews:
    """Return the news of a message in this process's time."""
    return CrashNews(
        tuple(
            Crash(
                item.fingerprint,
                item.upstream,
                item.incarnation,
                now - max(0, item.age_ms) / 1000,
            )
            for item in message.crashes
        ),
        tuple(
            Clearing(item.fingerprint, now - max(0, item.age_ms) / 1000)
            for item in message.clearings
        ),
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * 1000))
