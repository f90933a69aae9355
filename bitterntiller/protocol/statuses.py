"""Words in messages that both sides compare."""

QUOTA_RESERVED = "reserved"
QUOTA_REFUSED = "refused"
QUOTA_NOT_COUNTING = "not-counting"
"""What a host answers to a question for a part of a quota; one that may not count now
sends its asker on to another."""
