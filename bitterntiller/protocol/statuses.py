"""Status values in messages that both sides compare."""

QUOTA_RESERVED = "reserved"
QUOTA_REFUSED = "refused"
QUOTA_NOT_COUNTING = "not-counting"
"""Statuses of QuotaAnswer, the reply to QuotaAsk.

A host that may not count now replies not-counting, so that the sender asks another one.
"""
