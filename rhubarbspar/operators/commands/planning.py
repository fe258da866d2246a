"""From an answers file to the configuration that would be written."""

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
    """What applying answers would do.

    Attributes
    ----------
    base
        Configuration in the store.
    configuration
        Configuration to write.
    difference
        Readable difference; empty if there is nothing to write.
    notes
        Answers that are left out because commands have withdrawn them.
    """

    base: snapshots.Snapshot
    configuration: models.Configuration
    difference: list[str]
    notes: list[str]


def plan(environment: environments.Environment, answers_path: str) -> Plan:
    """Read answers and the store, and combine them.

    Raises
    ------
    helpers.errors.InvalidFileError
        If the answers have faults.
    errors.InputError
        If the answers cannot follow the configuration in the store.
    errors.StoreUnavailableError
        If the store cannot be read.
    """
    completed = questionnaire.load(answers_path)
    # The withdrawals are read after the configuration: each of them changes the configuration, so
    # that one which comes later makes the comparison of the revision fail.
    base = snapshots.read(environment.store)
    generated = generate.generate(completed, environment.now_unix_s(), base.configuration)
    withdrawn = _withdrawn(environment.store, generated, base.configuration)
    merged = merge.merge(generated, base.configuration, withdrawn)
    transitions.check_versions(environment.store, base.configuration, merged)
    return Plan(
        base=base,
        configuration=merged,
        difference=diff.difference(base.configuration, merged),
        notes=_notes(withdrawn),
    )


def _withdrawn(
    operator_store: store.Store,
    generated: models.Configuration,
    base: models.Configuration | None,
) -> merge.Withdrawals:
    known_keys = set() if base is None else base.access_keys.keys()
    known_moves = set() if base is None else base.moves.keys()
    return merge.Withdrawals(
        key_digests=_marked(
            operator_store,
            const.STORE_PREFIX_WITHDRAWN_KEYS,
            generated.access_keys.keys() - known_keys,
        ),
        move_ids=_marked(
            operator_store,
            const.STORE_PREFIX_WITHDRAWN_MOVES,
            generated.moves.keys() - known_moves,
        ),
    )


def _marked(operator_store: store.Store, prefix: str, names: set[str]) -> frozenset[str]:
    return frozenset(name for name in names if operator_store.get(f'{prefix}{name}').revision)


def _notes(withdrawn: merge.Withdrawals) -> list[str]:
    keys = [f'access key {digest} was withdrawn' for digest in sorted(withdrawn.key_digests)]
    moves = [f'move {move_id} was withdrawn' for move_id in sorted(withdrawn.move_ids)]
    return [f'left out: {note}' for note in (*keys, *moves)]
