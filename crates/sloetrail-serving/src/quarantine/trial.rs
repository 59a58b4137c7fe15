//! Trials of live requests that may have caused crashes.
//!
//! A trial is one send to one back end. Live requests arrive at all nodes, so a service has one
//! trial of a live request at a time across all nodes, enforced by a conditional write: two requests
//! on trial at the same back end would explain its crash equally well. Its row is deleted when the
//! trial has ended, and expires if its node is lost.

use super::Quarantine;
use crate::events::{self, Event};
use crate::rows;
use crate::table::{Commit, Transaction};
use crate::tasks;
use serde::{Deserialize, Serialize};
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::{RequestDigest, RequestStatus, Suspect};
use sloetrail_types::{RowVersion, Timestamp};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long a trial keeps others away at most, also if its node is lost.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(3);
/// How long a trial whose run was lost or abandoned keeps others away, so that a crash under it is
/// known to them.
const CRASH_REPORT_TIME: Duration = Duration::from_millis(1_500);

/// The latest trial of a service.
#[derive(Debug, Serialize, Deserialize)]
struct StoredTrial {
    digest: RequestDigest,
    /// When the trial ends, on the table's clock.
    #[serde(rename = "until_ms")]
    until: Timestamp,
}

/// A trial of a live request. Its row is deleted some time after the guard is dropped.
pub(super) struct TrialGuard {
    quarantine: Arc<Quarantine>,
    suspect: Suspect,
    version: RowVersion,
    was_sent: AtomicBool,
}

impl TrialGuard {
    /// Records that the request is sent to a back end.
    pub(super) fn record_send(&self) {
        self.was_sent.store(true, Ordering::Relaxed);
    }

    /// True if a back end may have crashed under the request, or may still do so.
    fn may_have_crashed(&self) -> bool {
        let Suspect { service, digest } = &self.suspect;
        let assessment = self.quarantine.assessment();
        let is_quarantined = matches!(
            assessment.status(service, *digest),
            RequestStatus::Quarantined(_)
        );
        is_quarantined && self.was_sent.load(Ordering::Relaxed)
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let quarantine = Arc::clone(&self.quarantine);
        let address = rows::trial(&self.suspect.service);
        let delay = match self.may_have_crashed() {
            true => CRASH_REPORT_TIME,
            false => Duration::ZERO,
        };
        let deletion = Transaction::new()
            .require(address.clone(), Some(self.version))
            .delete(address);
        tasks::spawn("trial end", async move {
            tokio::time::sleep(delay).await;
            // If the deletion fails, the row expires.
            let _ = quarantine.table.commit(&deletion).await;
        });
    }
}

impl Quarantine {
    /// Starts a trial of a request. Returns None if another trial is in progress or the table does
    /// not confirm the write.
    pub(super) async fn begin_trial(
        self: &Arc<Self>,
        suspect: Suspect,
        until: BootInstant,
    ) -> Option<TrialGuard> {
        let now = self.table.now_ms().map(Timestamp)?;
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
            return None;
        }
        let remaining = until.saturating_duration_since(BootInstant::now());
        let trial = StoredTrial {
            digest: suspect.digest,
            until: now.after(remaining.min(MAX_TRIAL_TIME)),
        };
        let value = serde_json::to_vec(&trial).unwrap_or_default();
        let transaction = Transaction::new()
            .require(address.clone(), known.map(|row| row.version))
            .put(address, value);
        match self.table.commit(&transaction).await {
            Ok(Commit::Done(version)) => Some(TrialGuard {
                quarantine: Arc::clone(self),
                suspect,
                version,
                was_sent: AtomicBool::new(false),
            }),
            Ok(Commit::Conflict(_)) | Err(_) => None,
        }
    }
}
