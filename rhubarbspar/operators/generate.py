"""Generate a configuration from the answers of a questionnaire."""

from rhubarbspar.components.configuration import models
from rhubarbspar.helpers import errors as helper_errors
from rhubarbspar.operators import checks
from rhubarbspar.operators import questionnaire

_BITS_PER_MBIT = 1_000_000


def generate(
    completed: questionnaire.Questionnaire,
    now_unix_s: float,
    base: models.Configuration | None = None,
) -> models.Configuration:
    """Validate the answers against each other and build their configuration.

    Parameters
    ----------
    completed
        The answers with the document that they were read from.
    now_unix_s
        Current time, against which deadlines are checked.
    base
        Current configuration, or ``None`` before the first.

    Returns
    -------
    models.Configuration
        The configuration with revision 0, because the store assigns the revision.

    Raises
    ------
    helper_errors.InvalidFileError
        If answers are invalid; names file, line and key of each.
    """
    invalid_answers = checks.find_invalid_answers(completed.answers, now_unix_s, base)
    if invalid_answers:
        raise helper_errors.InvalidFileError(
            tuple(
                completed.document.problem(answer.key_path, answer.message)
                for answer in invalid_answers
            ),
        )
    return _build(completed.answers)


def _build(answers: questionnaire.Answers) -> models.Configuration:
    return models.Configuration(
        revision=0,
        deployment=answers.deployment,
        store_failure_domain=answers.store_failure_domain,
        services=_services(answers),
        client_accounts=_client_accounts(answers),
        access_keys={
            key.key_digest: models.AccessKey(key.key_digest, key.account_id)
            for key in answers.access_keys
        },
        failure_domains={
            domain: models.FailureDomain(domain, region)
            for region, domains in answers.regions.items()
            for domain in domains
        },
        links=_links(answers),
        client_blocks=tuple(
            models.ClientBlock(block.network, block.region) for block in answers.client_blocks
        ),
        moves={move_id: _move(answers, move_id) for move_id in answers.moves},
    )


def _services(answers: questionnaire.Answers) -> dict[str, models.Service]:
    return {
        service_id: models.Service(
            service_id=service_id,
            version=service.version,
            routes=tuple(_route(route) for route in service.routes),
            backend_servers=_backend_servers(service),
        )
        for service_id, service in answers.services.items()
    }


def _route(route: questionnaire.RouteAnswer) -> models.Route:
    return models.Route(
        path_prefix=route.path_prefix,
        methods=route.methods,
        idempotent=route.idempotent,
        open_to_all=route.open_to_all,
        timeout_ms=route.timeout_ms,
    )


def _backend_servers(service: questionnaire.ServiceAnswer) -> tuple[models.BackendServer, ...]:
    return tuple(
        models.BackendServer(
            server_id=server.server_id,
            address=server.address,
            failure_domain=domain,
            slots=server.slots,
            version=server.version or service.version,
            leaving=server.leaving,
        )
        for domain, servers in service.backend_servers.items()
        for server in servers
    )


def _client_accounts(answers: questionnaire.Answers) -> dict[str, models.ClientAccount]:
    return {
        account_id: models.ClientAccount(account_id, account.rate_per_s, account.burst_requests)
        for account_id, account in answers.client_accounts.items()
    }


def _links(answers: questionnaire.Answers) -> tuple[models.Link, ...]:
    return tuple(
        models.Link(source, target, round(link.rate_mbit_per_s * _BITS_PER_MBIT))
        for link in answers.links
        for source, target in (link.between, reversed(link.between))
    )


def _move(answers: questionnaire.Answers, move_id: str) -> models.Move:
    move = answers.moves[move_id]
    deadline = move.deadline or answers.migration_deadline
    return models.Move(
        move_id=move_id,
        kind=models.MoveKind(move.kind),
        target=move.new_version or move.server_id or move.failure_domain or move.instance_id,
        deadline_unix_s=deadline.timestamp(),
        cap_share=move.cap_share,
        service_id=move.service_id,
        old_version=move.old_version,
    )
