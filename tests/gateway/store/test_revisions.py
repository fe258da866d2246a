"""Revisions across the restores of the store."""

from rhubarbspar.gateway.store import revisions


def test_revision_of_a_later_era_is_newer():
    """Guards against taking the changes of a restored store for older ones."""
    before = revisions.combine(1, 50)
    after = revisions.combine(2, 48)
    assert after > before
    assert (revisions.era_of(after), revisions.number_in_era(after)) == (2, 48)


def test_no_revision_is_0_in_each_era():
    """Guards against a condition that a key must not exist, sent as a revision."""
    assert revisions.combine(3, 0) == 0
