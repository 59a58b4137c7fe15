//! Quarantine of requests under which back ends crash.
//!
//! Only requests of callers are suspects: what an accepted batch needs is owed, and is sent whatever
//! crashed under it. A suspect returns under another id and at any node, so crashes are counted across all
//! nodes and outlast each of them. A node that detects a crash ([`crash_watch`]) writes a row
//! with the digests of its requests that were running there. Every node determines from all rows
//! which requests are quarantined ([`sloetrail_quarantine::assess`]). The rows are stored with
//! the leases, which every node follows: an ordinary request costs a local lookup and no message.
//! A node's own reports count locally at once, also while the table is unavailable.
//!
//! Every send checks [`Quarantine::permission`] immediately before it leaves, against state that
//! was confirmed since the process last resumed.

mod crash_registry;
mod crash_watch;
mod identity;
mod last_event;
mod operator;
mod permission;
mod run_watch;
mod sweep;
mod trial;
mod unanswered;
mod writer;

pub(crate) use identity::{RequestIdentity, RequestOrigin};
pub(crate) use last_event::LastEvent;
pub(crate) use permission::QuarantinePermit;
pub(crate) use run_watch::RunWatch;
pub(crate) use sweep::run_row_sweeper;

use self::crash_registry::{CrashRegistry, Entry};
use self::crash_watch::{Crash, CrashWatch, LostRun};
use self::unanswered::UnansweredReports;
use self::writer::Writer;
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::ended_incarnations::EndedIncarnationsReceiver;
use crate::events::{self, Event};
use crate::follow::{LastApplied, ViewReceiver};
use crate::rows;
use crate::settings::ServingSettings;
use crate::table::Table;
use crate::tasks;
use parking_lot::{Mutex, RwLock};
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::{
    Clearance, CrashAssessment, CrashReport, HoldReason, RequestDigest, RequestStatus, Suspect,
};
use sloetrail_types::{NodeId, ServiceName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::watch;

/// This node's view of the quarantine, and the records that it adds to it.
pub(crate) struct Quarantine {
    table: Arc<dyn Table>,
    directory: watch::Receiver<Arc<Directory>>,
    leases: ViewReceiver,
    instance: NodeId,
    /// How long a crash counts against a request.
    retention: Duration,
    crashes: CrashWatch,
    registry: Mutex<CrashRegistry>,
    unanswered: Mutex<UnansweredReports>,
    assessment: RwLock<Arc<CrashAssessment>>,
    writer: Writer,
    /// Number that makes the row keys of this incarnation unique.
    next_row: AtomicU64,
}

impl Quarantine {
    /// Starts a quarantine that follows the crash rows among the lease rows. The receiver
    /// yields the request time of the last applied view.
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
            unanswered: Mutex::default(),
            assessment: RwLock::default(),
            next_row: AtomicU64::new(1),
        });
        let following = Arc::downgrade(&quarantine);
        let applied = Arc::new(applied);
        tasks::spawn_part("quarantine rows", move || {
            follow(
                Weak::clone(&following),
                leases.clone(),
                Arc::clone(&applied),
            )
        });
        let following = Arc::downgrade(&quarantine);
        tasks::spawn_part("crashes of ended incarnations", move || {
            follow_ended(Weak::clone(&following), ended.clone())
        });
        (quarantine, applied_at)
    }

    /// Records that a run of a request was lost that may have been running at a back end.
    fn record_lost_run(self: &Arc<Self>, back_end: &BackEnd, run: LostRun) {
        if let Some(check) = self.crashes.record_lost_run(back_end, run) {
            self.confirm_crash(back_end, check);
        }
    }

    /// Records that a request was abandoned that may still be running at a back end: its
    /// caller has disconnected, or the attempt is no longer awaited.
    fn record_abandoned_run(&self, back_end: &BackEnd, run: LostRun) {
        self.crashes.record_abandoned_run(back_end, run);
        if let Some(last_event) = run.last_event.filter(|_| run.is_suspect) {
            self.record_progress(&back_end.service, run.request, last_event);
        }
    }

    /// Clears a quarantined request that has passed the event at which back ends crashed, although
    /// its caller did not wait for the end.
    fn record_progress(&self, service: &ServiceName, request: RequestDigest, last_event: u64) {
        let assessment = self.assessment();
        let last_suspect_event = match assessment.status(service, request) {
            RequestStatus::Quarantined(quarantined) => quarantined.last_event,
            RequestStatus::Free | RequestStatus::Suspected { .. } => None,
        };
        if last_suspect_event.is_some_and(|suspect| last_event > suspect) {
            self.clear(Suspect {
                service: service.clone(),
                digest: request,
            });
        }
    }

    /// Records a failed connection attempt. The back end may have crashed under an abandoned
    /// request.
    fn record_unreached(self: &Arc<Self>, back_end: &BackEnd) {
        if let Some(check) = self.crashes.record_unreached(back_end) {
            self.confirm_crash(back_end, check);
        }
    }

    /// Records that a back end has answered a request.
    fn record_answered_run(&self, service: &ServiceName, digest: impl FnOnce() -> RequestDigest) {
        let assessment = self.assessment();
        if assessment.is_empty(service) {
            return;
        }
        let digest = digest();
        let answered_reports = self.unanswered.lock().record_answer(service, digest);
        for (address, report) in answered_reports {
            self.record_entry(address, Entry::Crashed(report));
        }
        // Most requests that met a single crash are not sent again, so a clearance row is
        // written only after several.
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

    /// Clears a quarantined request of all its crashes so far. Returns false if it is not
    /// quarantined.
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

    pub(crate) fn assessment(&self) -> Arc<CrashAssessment> {
        Arc::clone(&self.assessment.read())
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
        tasks::spawn("crash check", async move {
            if let Some(crash) = quarantine.crashes.confirm_crash(&back_end, check).await {
                quarantine.report(&back_end, crash);
            }
        });
    }

    fn report(&self, back_end: &BackEnd, crash: Crash) {
        let digests: Vec<String> = crash.requests.keys().map(ToString::to_string).collect();
        let runs = crash.requests.values();
        let last_events: Vec<Option<u64>> = runs.clone().map(|run| run.last_event).collect();
        let suspects: BTreeSet<RequestDigest> = runs
            .clone()
            .filter(|run| run.is_suspect)
            .map(|run| run.request)
            .collect();
        events::emit(&Event::BackEndCrashed {
            back_end: back_end.id.as_str(),
            service: back_end.service.as_str(),
            digests: &digests,
            last_events: &last_events,
            suspects: suspects.len(),
        });
        let Some(now) = self.table.now_ms().map(Timestamp) else {
            return;
        };
        let report = CrashReport {
            service: back_end.service.clone(),
            back_end: back_end.id.clone(),
            software: back_end.software.clone(),
            // The restart of a back end may show its crash seconds later.
            at_ms: now.before(crash.lost_for).0,
            requests: suspects,
            last_events: runs
                .filter_map(|run| Some((run.request, run.last_event?)))
                .collect(),
            are_answered: false,
        };
        let address = rows::crash_report(&self.instance, self.next_row());
        if !report.requests.is_empty() {
            self.unanswered.lock().add(address.clone(), report.clone());
        }
        self.record_entry(address, Entry::Crashed(report));
    }

    fn next_row(&self) -> u64 {
        self.next_row.fetch_add(1, Ordering::Relaxed)
    }

    /// Applies an entry of this node immediately, and queues its row for the table.
    fn record_entry(&self, address: crate::table::RowAddress, entry: Entry) {
        let value = entry.value();
        {
            let mut registry = self.registry.lock();
            registry.add_unconfirmed(address.key.clone(), entry);
            self.assess(&registry);
        }
        self.writer.write(address, value);
    }

    fn apply_view(&self) {
        let view = self.leases.borrow().clone();
        let mut registry = self.registry.lock();
        if registry.apply_view(&view) {
            self.assess(&registry);
        }
    }

    fn assess(&self, registry: &CrashRegistry) {
        let next = Arc::new(registry.assess(self.table.now_ms(), self.retention));
        let mut current = self.assessment.write();
        emit_changes(&current, &next);
        *current = next;
    }

    /// Returns the software versions of the back ends of a service that take work. None if
    /// one of them does not report its version, or if the directory is a subset, in which
    /// case other back ends may run other software.
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
    quarantine: Weak<Quarantine>,
    mut leases: ViewReceiver,
    applied: Arc<watch::Sender<Option<BootInstant>>>,
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

/// Reports crashes of back ends that restarted under the same name before their address was
/// probed.
async fn follow_ended(quarantine: Weak<Quarantine>, mut ended: EndedIncarnationsReceiver) {
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
    let reasons = |assessment: &CrashAssessment| -> BTreeMap<Suspect, HoldReason> {
        let quarantined = assessment.quarantined();
        quarantined
            .map(|(suspect, quarantined)| (suspect, quarantined.reason))
            .collect()
    };
    let (reasons_before, reasons_after) = (reasons(before), reasons(after));
    for (suspect, quarantined) in after.quarantined() {
        if reasons_before.get(&suspect) != Some(&quarantined.reason) {
            events::emit(&Event::RequestHeld {
                digest: &suspect.digest.to_string(),
                service: suspect.service.as_str(),
                crashes: quarantined.crashes,
                clear: quarantined.is_sole_suspect,
                reason: quarantined.reason.as_str(),
            });
        }
    }
    let released = reasons_before.into_keys();
    for suspect in released.filter(|suspect| !reasons_after.contains_key(suspect)) {
        events::emit(&Event::RequestReleased {
            digest: &suspect.digest.to_string(),
            service: suspect.service.as_str(),
        });
    }
}
