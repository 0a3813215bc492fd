//! Runs operators' commands: queries on this instance's view, changes through the change log.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_control::SubmitError;
use laburnumdeal_language::{
    ChangeReply, Command, CommandOptions, ErrorReply, ExplainSubject, OperatorReply,
    OperatorRequest, Table,
};
use laburnumdeal_model::{AuditRecord, Change, CommandId, Submission, Verdict, Version};
use slog::info;
use tokio::time::Instant;

use crate::operator_auth::Operator;
use crate::rollout::{self, RolloutStatus};
use crate::state::{State, unix_now_ms};
use crate::{explain, show};

/// Default time for which a change waits until it is in force everywhere.
const DEFAULT_WAIT_MS: u64 = 3_000;

/// Maximum time for which a change waits until it is in force everywhere.
const MAX_WAIT_MS: u64 = 60_000;

/// Retry-after time for a command that did not run.
const RETRY_AFTER_MS: u64 = 500;

/// Default number of audit records in one reply.
const DEFAULT_AUDIT_LIMIT: u64 = 500;

/// Maximum number of audit records in one reply.
const MAX_AUDIT_LIMIT: u64 = 5_000;

/// Runs one command and returns its reply.
pub async fn run(
    state: &Arc<State>,
    operator: &Operator,
    request: OperatorRequest,
) -> OperatorReply {
    let line = match request.parse(unix_now_ms()) {
        Ok(line) => line,
        Err(error) => return ErrorReply::from(error).into(),
    };
    match line.command {
        Command::Show(show) => {
            let table = with_version(state, show::table(state, show.subject)).await;
            match table.filtered(&show.filters, &request.command) {
                Ok(table) => table.into(),
                Err(error) => error.into(),
            }
        }
        Command::Explain(ExplainSubject::Caller {
            service,
            address,
            key,
        }) => match explain::caller(state, &service, address, key.as_deref()) {
            Ok(table) => with_version(state, table).await.into(),
            Err(message) => ErrorReply::about(message, &request.command, &service).into(),
        },
        Command::Explain(ExplainSubject::Request { id }) => {
            match explain::request(state, &id).await {
                Some(table) => with_version(state, table).await.into(),
                None => {
                    let message = format!("request {id:?} is not kept on any instance in reach");
                    ErrorReply::about(message, &request.command, &id).into()
                }
            }
        }
        Command::Change(change) => {
            let command_id = request
                .command_id
                .clone()
                .unwrap_or_else(|| new_command_id(state));
            let wait_ms = request.wait_ms.unwrap_or(DEFAULT_WAIT_MS).min(MAX_WAIT_MS);
            change_configuration(state, operator, change, command_id, line.options, wait_ms).await
        }
        Command::History { last, since } => history(state, last, since).await,
        Command::AuditVerify => audit_records(state, 0, MAX_AUDIT_LIMIT),
        Command::AuditRecords { from_index, limit } => audit_records(
            state,
            from_index,
            limit.unwrap_or(DEFAULT_AUDIT_LIMIT).min(MAX_AUDIT_LIMIT),
        ),
    }
}

async fn change_configuration(
    state: &Arc<State>,
    operator: &Operator,
    change: Change,
    command_id: CommandId,
    options: CommandOptions,
    wait_ms: u64,
) -> OperatorReply {
    let started_at = Instant::now();
    if operator.read_only {
        let refusal = laburnumdeal_model::Refusal::NotAllowed {
            operator: operator.name.clone(),
        };
        let version = state.configuration.version();
        let verdict = Verdict::Refused(refusal);
        return reply(
            verdict,
            command_id,
            version,
            RolloutStatus::default(),
            started_at,
        )
        .into();
    }
    let Some(replica) = &state.replica else {
        let reason = format!(
            "instance {:?} is no control replica; ask one of: {}",
            state.settings.instance,
            control_instances(state)
        );
        return OperatorReply::NotRun {
            reason,
            retry_after_ms: RETRY_AFTER_MS,
        };
    };
    let submission = Submission {
        command_id: command_id.clone(),
        operator: operator.name.clone(),
        base: options.base,
        at_ms: unix_now_ms(),
        force: options.force,
        dry_run: options.dry_run,
        change,
    };
    info!(state.log, "submitting operator command to the change log"; "operator" => &operator.name,
        "command_id" => command_id.to_string(), "change" => submission.change.to_string());
    match replica.submit(submission).await {
        Ok(committed) => {
            let rollout = match committed.verdict {
                Verdict::Accepted { version } => {
                    rollout::wait_until_in_force(state, version, Duration::from_millis(wait_ms))
                        .await
                }
                _ => RolloutStatus::default(),
            };
            reply(
                committed.verdict,
                command_id,
                committed.version,
                rollout,
                started_at,
            )
            .into()
        }
        Err(SubmitError::NotRun(reason)) => OperatorReply::NotRun {
            reason: reason.to_string(),
            retry_after_ms: RETRY_AFTER_MS,
        },
        Err(SubmitError::Unknown { command_id, reason }) => {
            OperatorReply::Unknown { command_id, reason }
        }
    }
}

fn reply(
    verdict: Verdict,
    command_id: CommandId,
    version: Version,
    rollout: RolloutStatus,
    started_at: Instant,
) -> ChangeReply {
    ChangeReply {
        verdict,
        command_id,
        version,
        in_force: rollout.in_force,
        fenced: rollout.fenced,
        unreachable: rollout.unreachable,
        took_ms: started_at.elapsed().as_millis() as u64,
    }
}

/// Adds the configuration version to a table, and whether the leader confirms it.
async fn with_version(state: &State, mut table: Table) -> Table {
    table.version = state.configuration.version();
    table.confirmed = match &state.replica {
        Some(replica) => {
            let log_state = replica.read_configuration().await;
            log_state.is_confirmed && log_state.configuration.version == table.version
        }
        None => false,
    };
    if !table.confirmed && table.note.is_none() {
        table.note = Some(match state.configuration.confirmed_age() {
            Some(age) => format!("last confirmed by the leader {} ms ago", age.as_millis()),
            None => "not confirmed by the leader since this instance started".to_owned(),
        });
    }
    table
}

async fn history(state: &State, last: Option<u64>, since: Option<Version>) -> OperatorReply {
    let Some(replica) = &state.replica else {
        return no_change_log(state);
    };
    let all = replica.audit_records(0, usize::MAX);
    let is_newer = |record: &&AuditRecord| match (since, &record.verdict) {
        (None, _) => true,
        (Some(since), Verdict::Accepted { version }) => *version > since,
        (Some(_), _) => false,
    };
    let mut rows: Vec<Vec<String>> = all.iter().filter(is_newer).map(history_row).collect();
    if let Some(last) = last {
        let start = rows.len().saturating_sub(last as usize);
        rows.drain(..start);
    }
    let columns = ["index", "at_ms", "operator", "command", "change", "verdict"];
    with_version(state, Table::new("history", &columns, rows))
        .await
        .into()
}

fn history_row(record: &AuditRecord) -> Vec<String> {
    vec![
        record.index.to_string(),
        record.at_ms.to_string(),
        record.operator.clone(),
        record.command_id.to_string(),
        record.change.to_string(),
        record.verdict.to_string(),
    ]
}

fn audit_records(state: &State, from_index: u64, limit: u64) -> OperatorReply {
    match &state.replica {
        Some(replica) => OperatorReply::Audit {
            records: replica.audit_records(from_index, limit as usize),
        },
        None => no_change_log(state),
    }
}

fn no_change_log(state: &State) -> OperatorReply {
    let reason = format!(
        "instance {:?} keeps no change log; ask one of: {}",
        state.settings.instance,
        control_instances(state)
    );
    OperatorReply::NotRun {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

fn control_instances(state: &State) -> String {
    let describe = |id| {
        let instance: &laburnumdeal_model::Instance = state.topology.instance(id);
        format!("{} at {}", instance.name, instance.operator_address)
    };
    let names: Vec<String> = state.topology.control_ids().map(describe).collect();
    names.join(", ")
}

fn new_command_id(state: &State) -> CommandId {
    state
        .new_request_id()
        .parse()
        .expect("request ids are command ids")
}
