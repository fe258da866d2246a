"""Build the configuration that applying an answers file would write."""

import dataclasses

from rhubarbspar.components.configuration import models
from rhubarbspar.operators import const
from rhubarbspar.operators import diff
from rhubarbspar.operators import generate
from rhubarbspar.operators import merge
from rhubarbspar.operators import questionnaire
from rhubarbspar.operators import snapshots
from rhubarbspar.operators import store
from rhubarbspar.operators import transitions
from rhubarbspar.operators.commands import environment as environments


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Outcome of applying answers, before anything is written.

    Attributes
    ----------
    base
        Configuration in the store and its revision.
    configuration
        Configuration to write.
    difference
        Lines that describe the difference; empty if there is nothing to write.
    notes
        Lines that name the answers left out because commands withdrew them.
    """

    base: snapshots.Snapshot
    configuration: models.Configuration
    difference: list[str]
    notes: list[str]


def plan(environment: environments.Environment, answers_path: str) -> Plan:
    """Merge the configuration generated from the answers with the one in the store.

    Raises
    ------
    helpers.errors.InvalidFileError
        If answers are invalid; names file, line and key of each.
    errors.InputError
        If the answers conflict with a move in the store or change a version without a move.
    errors.StoreUnavailableError
        If the store cannot be read.
    """
    completed = questionnaire.load(answers_path)
    # Read the configuration before the withdrawals. Each withdrawal also changes the configuration:
    # one made after the configuration was read makes the revision comparison of the write fail.
    base = snapshots.read(environment.store)
    generated = generate.generate(completed, environment.now_unix_s(), base.configuration)
    withdrawn = _read_withdrawals(environment.store, generated, base.configuration)
    merged = merge.merge(generated, base.configuration, withdrawn)
    transitions.check_versions(environment.store, base.configuration, merged)
    return Plan(
        base=base,
        configuration=merged,
        difference=diff.difference(base.configuration, merged),
        notes=_describe_withdrawals(withdrawn),
    )


def _read_withdrawals(
    operator_store: store.Store,
    generated: models.Configuration,
    base: models.Configuration | None,
) -> merge.Withdrawals:
    stored_keys = set() if base is None else base.access_keys.keys()
    stored_moves = set() if base is None else base.moves.keys()
    return merge.Withdrawals(
        key_digests=_filter_withdrawn(
            operator_store,
            const.STORE_PREFIX_WITHDRAWN_KEYS,
            generated.access_keys.keys() - stored_keys,
        ),
        move_ids=_filter_withdrawn(
            operator_store,
            const.STORE_PREFIX_WITHDRAWN_MOVES,
            generated.moves.keys() - stored_moves,
        ),
    )


def _filter_withdrawn(operator_store: store.Store, prefix: str, names: set[str]) -> frozenset[str]:
    return frozenset(name for name in names if operator_store.get(f'{prefix}{name}').revision)


def _describe_withdrawals(withdrawn: merge.Withdrawals) -> list[str]:
    keys = [f'access key {digest} was withdrawn' for digest in sorted(withdrawn.key_digests)]
    moves = [f'move {move_id} was withdrawn' for move_id in sorted(withdrawn.move_ids)]
    return [f'left out: {note}' for note in (*keys, *moves)]
