//! Keeping requests under which back ends crash from further back ends.
//!
//! A request that ends its back end comes again under another id, at any node. So what is
//! counted must be counted by all nodes together and must outlast each of them: a node that
//! finds a back end crashed ([`crash_watch`]) writes a row with the digests of its requests
//! that were there, and every node works out from all rows which requests are held
//! ([`sloetrail_quarantine::assess`]). The rows lie with the leases, which every node follows:
//! an ordinary request costs a look at what is known and no message, and rows are written
//! after crashes alone. What a node has found itself counts there at once, also while the
//! table is away.
//!
//! Every send asks [`Quarantine::permission`] at the moment at which it leaves, by beliefs that
//! were confirmed since the process last woke.

mod crash_registry;
mod crash_watch;
mod identity;
mod operator;
mod permission;
mod run_watch;
mod sweep;
mod trial;
mod writer;

pub(crate) use identity::RequestIdentity;
pub(crate) use permission::{Permission, QuarantinePermit};
pub(crate) use run_watch::RunWatch;
pub(crate) use sweep::run_row_sweeper;

use self::crash_registry::{CrashRegistry, Entry};
use self::crash_watch::{Crash, CrashWatch};
use self::writer::Writer;
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::ended_incarnations::EndedIncarnationsReceiver;
use crate::events::{self, Event};
use crate::follow::{LastApplied, ViewReceiver};
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::Table;
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::{
    Clearance, CrashAssessment, CrashReport, RequestDigest, RequestStatus, Suspect,
};
use sloetrail_types::{NodeId, ServiceName};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use tokio::sync::watch;

/// The requests that are kept from back ends, as this node knows them.
pub(crate) struct Quarantine {
    table: Arc<dyn Table>,
    directory: watch::Receiver<Arc<Directory>>,
    leases: ViewReceiver,
    instance: NodeId,
    /// How long a crash speaks against a request.
    retention: Duration,
    crashes: CrashWatch,
    registry: Mutex<CrashRegistry>,
    assessment: RwLock<Arc<CrashAssessment>>,
    writer: Writer,
    /// Tells the rows of this life apart.
    next_row: AtomicU64,
}

impl Quarantine {
    /// A quarantine that follows the rows of crashes among those of the leases. The receiver
    /// is told when each view was asked for, once what it says can be seen.
    pub(crate) fn start(
        settings: &ServingSettings,
        table: Arc<dyn Table>,
        (directory, ended): (watch::Receiver<Arc<Directory>>, EndedIncarnationsReceiver),
        leases: ViewReceiver,
    ) -> (Arc<Self>, LastApplied) {
        let (applied, applied_at) = watch::channel(leases.borrow().requested_at);
        let quarantine = Arc::new(Self {
            crashes: CrashWatch::new(directory.clone(), ended.clone()),
            writer: Writer::start(Arc::clone(&table)),
            table,
            directory,
            leases: leases.clone(),
            instance: settings.instance.clone(),
            retention: settings.bounds.quarantine,
            registry: Mutex::default(),
            assessment: RwLock::default(),
            next_row: AtomicU64::new(1),
        });
        let following = Arc::downgrade(&quarantine);
        tokio::spawn(follow(following, leases, applied));
        tokio::spawn(follow_ended(Arc::downgrade(&quarantine), ended));
        (quarantine, applied_at)
    }

    /// A request was lost while it may have been running at a back end.
    pub(crate) fn record_lost_run(self: &Arc<Self>, back_end: &BackEnd, request: RequestDigest) {
        if let Some(check) = self.crashes.record_lost_run(back_end, request) {
            self.confirm_crash(back_end, check);
        }
    }

    /// A request was left to itself while it may have been running at a back end: its caller
    /// has gone, or no longer waits for this attempt.
    pub(crate) fn record_abandoned_run(&self, back_end: &BackEnd, request: RequestDigest) {
        self.crashes.record_abandoned_run(back_end, request);
    }

    /// A back end could not be reached; it may have crashed under a request that was left.
    pub(crate) fn record_unreached(self: &Arc<Self>, back_end: &BackEnd) {
        if let Some(check) = self.crashes.record_unreached(back_end) {
            self.confirm_crash(back_end, check);
        }
    }

    /// A back end has run a request and answered it.
    pub(crate) fn record_answered_run(
        &self,
        service: &ServiceName,
        digest: impl FnOnce() -> RequestDigest,
    ) {
        let assessment = self.assessment();
        if assessment.is_empty(service) {
            return;
        }
        let digest = digest();
        // One crash speaks against nobody yet, and most requests that met one are not sent
        // again: a row for each answer would be written in vain.
        let has_several_crashes = match assessment.status(service, digest) {
            RequestStatus::Free => false,
            RequestStatus::Suspected { crashes } => *crashes > 1,
            RequestStatus::Quarantined(_) => true,
        };
        if has_several_crashes {
            self.clear(Suspect {
                service: service.clone(),
                digest,
            });
        }
    }

    /// Lets a request go, whatever has crashed under it so far; false if it is not held.
    pub(crate) fn release(&self, digest: RequestDigest) -> bool {
        let assessment = self.assessment();
        let quarantined = assessment.quarantined().map(|(suspect, _)| suspect);
        let quarantined: Vec<Suspect> = quarantined
            .filter(|quarantined| quarantined.digest == digest)
            .collect();
        for suspect in &quarantined {
            self.clear(suspect.clone());
        }
        !quarantined.is_empty()
    }

    /// What is known now.
    pub(crate) fn assessment(&self) -> Arc<CrashAssessment> {
        Arc::clone(&self.assessment.read().expect("not poisoned"))
    }

    fn clear(&self, suspect: Suspect) {
        let Some(at_ms) = self.table.now_ms() else {
            return;
        };
        let clearance = Clearance { suspect, at_ms };
        let address = rows::clearance(&self.instance, self.next_row());
        self.record_entry(address, Entry::Cleared(clearance));
    }

    fn confirm_crash(self: &Arc<Self>, back_end: &BackEnd, check: crash_watch::CrashCheck) {
        let (quarantine, back_end) = (Arc::clone(self), back_end.clone());
        tokio::spawn(async move {
            if let Some(crash) = quarantine.crashes.confirm_crash(&back_end, check).await {
                quarantine.report(&back_end, crash);
            }
        });
    }

    fn report(&self, back_end: &BackEnd, crash: Crash) {
        let digests: Vec<String> = crash.requests.iter().map(ToString::to_string).collect();
        events::emit(&Event::BackEndCrashed {
            back_end: back_end.id.as_str(),
            service: back_end.service.as_str(),
            digests: &digests,
        });
        let Some(at_ms) = self.table.now_ms() else {
            return;
        };
        let report = CrashReport {
            service: back_end.service.clone(),
            back_end: back_end.id.clone(),
            software: back_end.software.clone(),
            at_ms,
            requests: crash.requests,
        };
        let address = rows::crash_report(&self.instance, self.next_row());
        self.record_entry(address, Entry::Crashed(report));
    }

    fn next_row(&self) -> u64 {
        self.next_row.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts an entry of this node at once, and has it written for the others.
    fn record_entry(&self, address: crate::table::RowAddress, entry: Entry) {
        let value = entry.value();
        {
            let mut registry = self.registry.lock().expect("not poisoned");
            registry.add_unconfirmed(address.key.clone(), entry);
            self.assess(&registry);
        }
        self.writer.write(address, value);
    }

    fn apply_view(&self) {
        let view = self.leases.borrow().clone();
        let mut registry = self.registry.lock().expect("not poisoned");
        if registry.apply_view(&view) {
            self.assess(&registry);
        }
    }

    fn assess(&self, registry: &CrashRegistry) {
        let next = Arc::new(registry.assess(self.table.now_ms(), self.retention));
        let mut current = self.assessment.write().expect("not poisoned");
        emit_changes(&current, &next);
        *current = next;
    }

    /// The versions of the software of the back ends of a service that take work; nothing if
    /// one of them does not tell, or if only a part of the directory is held: others may use
    /// other software.
    fn software_in_use(&self, service: &ServiceName) -> Option<BTreeSet<String>> {
        let directory = self.directory.borrow();
        if !directory.covers_all {
            return None;
        }
        let back_ends = directory.of_service(service);
        let back_ends = back_ends.filter(|back_end| !back_end.draining);
        back_ends
            .map(|back_end| back_end.software.clone())
            .collect()
    }
}

async fn follow(
    quarantine: std::sync::Weak<Quarantine>,
    mut leases: ViewReceiver,
    applied: watch::Sender<Option<BootInstant>>,
) {
    while leases.changed().await.is_ok() {
        let requested_at = leases.borrow_and_update().requested_at;
        let Some(quarantine) = quarantine.upgrade() else {
            return;
        };
        quarantine.apply_view();
        applied.send_replace(requested_at);
    }
}

/// Back ends that came back under their names before their addresses were looked at have crashed
/// all the same.
async fn follow_ended(
    quarantine: std::sync::Weak<Quarantine>,
    mut ended: EndedIncarnationsReceiver,
) {
    while ended.changed().await.is_ok() {
        ended.mark_unchanged();
        let Some(quarantine) = quarantine.upgrade() else {
            return;
        };
        for (back_end, crash) in quarantine.crashes.take_ended_crashes() {
            quarantine.report(&back_end, crash);
        }
    }
}

fn emit_changes(before: &CrashAssessment, after: &CrashAssessment) {
    let quarantined_before: BTreeSet<Suspect> =
        before.quarantined().map(|(suspect, _)| suspect).collect();
    let quarantined_after: BTreeSet<Suspect> =
        after.quarantined().map(|(suspect, _)| suspect).collect();
    for (suspect, quarantined) in after.quarantined() {
        if !quarantined_before.contains(&suspect) {
            events::emit(&Event::RequestHeld {
                digest: &suspect.digest.to_string(),
                service: suspect.service.as_str(),
                crashes: quarantined.crashes,
                clear: quarantined.is_sole_suspect,
            });
        }
    }
    for suspect in quarantined_before.difference(&quarantined_after) {
        events::emit(&Event::RequestReleased {
            digest: &suspect.digest.to_string(),
            service: suspect.service.as_str(),
        });
    }
}
