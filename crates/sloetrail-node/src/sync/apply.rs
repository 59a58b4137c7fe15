//! Applying a configuration, with one of three answers.
//!
//! An apply is one transaction on the head row. It is answered as accepted only
//! once a majority of zones hold its revision, so that every node in contact with
//! a majority of zones learns of it; see `ConfigurationFreshness`.

use super::configuration_sync::{adopt_text, read_configuration_from_table};
use super::rows::{
    ApplyRecord, HEAD_KEY, HeadRecord, RevisionRecord, apply_key, revision_key, to_value, value_of,
};
use crate::api::messages::{ApplyAccepted, ApplyRequest};
use crate::state::NodeState;
use sloetrail_clients::{Condition, Row, Settled, Transaction, Write};
use sloetrail_config::{Configuration, difference};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{ApplyId, Revision, ZoneName};
use std::time::Duration;
use tokio::time::Instant;

const SETTLE_TIMEOUT: Duration = Duration::from_millis(3_000);
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(6_000);
const IN_FORCE_POLL: Duration = Duration::from_millis(20);
const ZONE_CONTACT: Duration = Duration::from_millis(2_500);

/// Carries an apply out.
pub(crate) async fn apply(
    state: &NodeState,
    request: ApplyRequest,
) -> Result<ApplyAccepted, Problem> {
    let candidate =
        Configuration::parse(&request.file, &request.text).map_err(|error| error.to_problem())?;
    let head = read_head(state).await?;
    if let Some(accepted) = earlier_outcome(state, &request.apply).await? {
        return confirm_in_force(state, &request.apply, accepted).await;
    }
    check_base(state, &request, &head, &candidate)?;
    check_zone_contact(state)?;
    let revision = commit(state, &request, head.row.as_ref(), head.record.revision).await?;
    adopt_text(state, revision, request.text);
    confirm_in_force(state, &request.apply, revision).await
}

/// Reads back an apply whose answer was lost. If it did not take effect so far,
/// it is withdrawn, so that the answer stays true.
pub(crate) async fn read_back(
    state: &NodeState,
    apply: &ApplyId,
) -> Result<ApplyAccepted, Problem> {
    if let Some(revision) = earlier_outcome(state, apply).await? {
        return confirm_in_force(state, apply, revision).await;
    }
    let key = apply_key(apply);
    let withdrawal = Transaction::of_one_row(
        state.new_transaction_id(),
        &key,
        None,
        to_value(&ApplyRecord::Withdrawn),
    );
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let table = &state.clients.table;
    match table.commit_settled(&withdrawal, &key, deadline).await {
        Settled::Committed(_) => Err(withdrawn(apply)),
        Settled::Conflict => match earlier_outcome(state, apply).await? {
            Some(revision) => confirm_in_force(state, apply, revision).await,
            None => Err(unknown(apply)),
        },
        Settled::NotExecuted | Settled::Unknown => Err(unknown(apply)),
    }
}

struct Head {
    row: Option<Row>,
    record: HeadRecord,
}

async fn read_head(state: &NodeState) -> Result<Head, Problem> {
    // Bring this node up to date, so that a conflict shows the difference.
    let caught_up = read_configuration_from_table(state).await;
    let row = match (caught_up, state.clients.table.read(HEAD_KEY).await) {
        (Ok(()), Ok(row)) => row,
        _ => return Err(table_unavailable()),
    };
    let record = match &row {
        Some(row) => value_of(row).map_err(|_| table_unavailable())?,
        None => HeadRecord::default(),
    };
    Ok(Head { row, record })
}

/// The revision of an apply that took effect before; an error if it was withdrawn.
async fn earlier_outcome(state: &NodeState, apply: &ApplyId) -> Result<Option<Revision>, Problem> {
    let row = state.clients.table.read(&apply_key(apply)).await;
    let row = row.map_err(|_| unknown(apply))?;
    let Some(row) = row else {
        return Ok(None);
    };
    match value_of(&row).map_err(|_| unknown(apply))? {
        ApplyRecord::Accepted(revision) => Ok(Some(revision)),
        ApplyRecord::Withdrawn => Err(withdrawn(apply)),
    }
}

fn check_base(
    state: &NodeState,
    request: &ApplyRequest,
    head: &Head,
    candidate: &Configuration,
) -> Result<(), Problem> {
    let present = head.record.revision;
    if request.base_revision.is_none_or(|base| base == present) {
        return Ok(());
    }
    let held = state.configuration();
    let changes: Vec<String> = difference(candidate, &held.configuration)
        .into_iter()
        .map(|change| change.entry)
        .collect();
    let detail = format!(
        "the present revision is {present}; it differs from the file in: {}",
        changes.join(", ")
    );
    Err(Problem::new(ResultCode::RevisionConflict, detail))
}

fn check_zone_contact(state: &NodeState) -> Result<(), Problem> {
    let configuration = state.configuration().configuration;
    let majority = configuration.zone_majority();
    let in_contact = {
        let membership = state.membership();
        let zones = membership.zones();
        1 + zones.heard_within(state.now(), ZONE_CONTACT, &configuration.zones)
    };
    if state.revision() == Revision(0) || in_contact >= majority {
        return Ok(());
    }
    let detail = format!("in contact with {in_contact} zones, {majority} are needed");
    Err(Problem::new(ResultCode::ZonesUnreachable, detail))
}

async fn commit(
    state: &NodeState,
    request: &ApplyRequest,
    head: Option<&Row>,
    present: Revision,
) -> Result<Revision, Problem> {
    let revision = present.next();
    let marker = apply_key(&request.apply);
    let transaction = Transaction {
        id: state.new_transaction_id(),
        conditions: vec![
            Condition {
                key: HEAD_KEY.to_owned(),
                version: head.map(|row| row.version),
            },
            Condition {
                key: marker.clone(),
                version: None,
            },
        ],
        writes: vec![
            Write {
                key: HEAD_KEY.to_owned(),
                value: to_value(&HeadRecord { revision }),
            },
            Write {
                key: revision_key(revision),
                value: to_value(&RevisionRecord {
                    text: request.text.clone(),
                    apply: request.apply.clone(),
                }),
            },
            Write {
                key: marker.clone(),
                value: to_value(&ApplyRecord::Accepted(revision)),
            },
        ],
    };
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let table = &state.clients.table;
    match table.commit_settled(&transaction, &marker, deadline).await {
        Settled::Committed(_) => Ok(revision),
        Settled::Conflict => Err(Problem::new(
            ResultCode::RevisionConflict,
            format!("another apply made revision {revision} first"),
        )),
        Settled::NotExecuted => Err(table_unavailable()),
        Settled::Unknown => Err(unknown(&request.apply)),
    }
}

/// Waits until a majority of zones hold the revision.
async fn confirm_in_force(
    state: &NodeState,
    apply: &ApplyId,
    revision: Revision,
) -> Result<ApplyAccepted, Problem> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let zones = zones_holding(state, revision);
        let majority = state.configuration().configuration.zone_majority();
        if state.revision() >= revision && zones.len() >= majority {
            return Ok(ApplyAccepted {
                apply: apply.clone(),
                revision,
                zones,
            });
        }
        if Instant::now() >= deadline {
            return Err(unknown(apply));
        }
        tokio::time::sleep(IN_FORCE_POLL).await;
    }
}

fn zones_holding(state: &NodeState, revision: Revision) -> Vec<ZoneName> {
    let configured = state.configuration().configuration;
    let membership = state.membership();
    let holds = |zone: &ZoneName| membership.revision_of_zone(zone) >= Some(revision);
    let zones = configured.zones.iter();
    zones.filter(|zone| holds(zone)).cloned().collect()
}

fn table_unavailable() -> Problem {
    Problem::new(
        ResultCode::TableUnavailable,
        "the table did not answer; nothing was changed",
    )
}

fn unknown(apply: &ApplyId) -> Problem {
    Problem::new(ResultCode::ApplyUnknown, format!("read back apply {apply}"))
}

fn withdrawn(apply: &ApplyId) -> Problem {
    Problem::new(
        ResultCode::ApplyWithdrawn,
        format!("apply {apply} was not accepted and now never will be"),
    )
}
