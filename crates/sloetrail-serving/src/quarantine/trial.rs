//! Trials of requests that may have caused crashes.
//!
//! A trial is one send to one back end. A service has one trial at a time across all nodes,
//! enforced by a conditional write: two requests on trial at the same back end would explain its
//! crash equally well.

use super::Quarantine;
use crate::events::{self, Event};
use crate::rows;
use crate::table::{Commit, Transaction};
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::{RequestDigest, Suspect};
use sloetrail_types::Timestamp;

/// The latest trial of a service.
#[derive(Debug, Serialize, Deserialize)]
struct StoredTrial {
    digest: RequestDigest,
    /// When the trial ends, on the table's clock.
    #[serde(rename = "until_ms")]
    until: Timestamp,
}

impl Quarantine {
    /// Starts a trial of a request. Returns false if another trial is in progress or the
    /// table does not confirm the write.
    pub(super) async fn begin_trial(&self, suspect: &Suspect, until: BootInstant) -> bool {
        let Some(now) = self.table.now_ms().map(Timestamp) else {
            return false;
        };
        let address = rows::trial(&suspect.service);
        let known = self.leases.borrow().rows.get(&address.key).cloned();
        let current = known
            .as_ref()
            .and_then(|row| serde_json::from_slice::<StoredTrial>(&row.value).ok());
        if let Some(other) = current.filter(|trial| now < trial.until) {
            events::emit(&Event::TrialRefused {
                digest: &suspect.digest.to_string(),
                service: suspect.service.as_str(),
                on_trial: &other.digest.to_string(),
                remaining_ms: other.until.0.saturating_sub(now.0),
            });
            return false;
        }
        let remaining = until.saturating_duration_since(BootInstant::now());
        let trial = StoredTrial {
            digest: suspect.digest,
            until: now.after(remaining),
        };
        let value = serde_json::to_vec(&trial).unwrap_or_default();
        let transaction = Transaction::new()
            .require(address.clone(), known.map(|row| row.version))
            .put(address, value);
        let commit = self.table.commit(&transaction).await;
        let has_started = matches!(commit, Ok(Commit::Done(_)));
        if has_started {
            events::emit(&Event::RequestTried {
                digest: &suspect.digest.to_string(),
                service: suspect.service.as_str(),
            });
        }
        has_started
    }
}
