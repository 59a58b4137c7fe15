//! Permission of a request to be sent to a back end, given its quarantine status.

use super::trial::TrialGuard;
use super::{LastEvent, Quarantine, RequestIdentity, RunWatch};
use crate::back_end::BackEnd;
use crate::events::{self, Event};
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::{
    HoldReason, QuarantinedRequest, RequestDigest, RequestStatus, Suspect, TRIAL_DELAY,
};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{ServiceName, whole_millis};
use std::sync::Arc;
use std::time::Duration;

/// Number of crashes from which on a request is not tried any more, although it may be innocent.
const MAX_CRASHES_TO_TRY: usize = 5;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// No crash counts against it.
    Free,
    /// A back end has crashed while running it. It goes to one back end at a time, so that it
    /// cannot crash a second one before the first crash is known.
    OneAtATime,
    /// It may be sent once, as a trial.
    OnTrial,
    /// It must not be sent to back ends.
    Quarantined {
        crashes: usize,
        /// Time until it may be sent again.
        remaining: Duration,
    },
}

/// Controls the sends of one request. Each send checks the quarantine again.
#[derive(Clone)]
pub(crate) struct QuarantinePermit {
    quarantine: Arc<Quarantine>,
    service: ServiceName,
    identity: Arc<RequestIdentity>,
    is_on_trial: bool,
    /// Keeps other live requests of the service from being tried.
    trial: Option<Arc<TrialGuard>>,
}

impl QuarantinePermit {
    /// Creates the permit of a request for the back ends of a service. That of a request of a batch
    /// is always open.
    pub(crate) fn new(
        quarantine: &Arc<Quarantine>,
        service: &ServiceName,
        identity: RequestIdentity,
    ) -> Self {
        Self {
            quarantine: Arc::clone(quarantine),
            service: service.clone(),
            identity: Arc::new(identity),
            is_on_trial: false,
            trial: None,
        }
    }

    pub(crate) fn permission(&self) -> Permission {
        match self.identity.is_suspect() {
            true => self.quarantine.permission(&self.service, || self.digest()),
            false => Permission::Free,
        }
    }

    /// True if the request may be sent to a back end now.
    pub(crate) fn is_open(&self) -> bool {
        match self.permission() {
            Permission::Free | Permission::OneAtATime => true,
            Permission::OnTrial => self.is_on_trial,
            Permission::Quarantined { .. } => false,
        }
    }

    /// True if the request may run at several back ends concurrently.
    pub(crate) fn allows_hedging(&self) -> bool {
        !self.is_on_trial && self.permission() == Permission::Free
    }

    /// True if the request is on trial: it may be sent once, to one back end.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Starts a trial if the request needs one and no other live request of its service is on
    /// trial. The trial ends by `until`.
    pub(crate) async fn acquire_trial(&mut self, until: BootInstant) {
        if let Permission::OnTrial = self.permission() {
            let suspect = Suspect {
                service: self.service.clone(),
                digest: self.digest(),
            };
            let trial = self.quarantine.begin_trial(suspect, until).await;
            if let Some(trial) = trial {
                self.trial = Some(Arc::new(trial));
                self.is_on_trial = true;
                events::emit(&Event::RequestTried {
                    digest: &self.digest().to_string(),
                    service: self.service.as_str(),
                });
            }
        }
    }

    /// Returns the refusal to answer with. None if the permit is open.
    pub(crate) fn refusal(&self) -> Option<Problem> {
        let (crashes, remaining) = match self.permission() {
            Permission::Free | Permission::OneAtATime => return None,
            Permission::OnTrial if self.is_on_trial => return None,
            Permission::OnTrial => (None, TRIAL_DELAY),
            Permission::Quarantined { crashes, remaining } => (Some(crashes), remaining),
        };
        telemetry::request_quarantined(self.service.as_str());
        let digest = self.digest();
        let detail = match crashes {
            Some(crashes) => format!("{crashes} back ends have crashed under request {digest}"),
            None => {
                format!("back ends have crashed under request {digest}; its trial has not started")
            }
        };
        let problem = Problem::new(ResultCode::RequestQuarantined, detail);
        Some(problem.with_retry_after_ms(whole_millis(remaining)))
    }

    /// Starts to track an attempt of the request at a back end. `last_event` follows the events
    /// that the attempt receives; None if its answer is not a stream.
    pub(crate) fn watch_run(
        &self,
        back_end: &Arc<BackEnd>,
        last_event: Option<&LastEvent>,
    ) -> RunWatch {
        if let Some(trial) = &self.trial {
            trial.record_send();
        }
        let identity = Arc::clone(&self.identity);
        RunWatch::new(&self.quarantine, back_end, identity, last_event)
    }

    pub(crate) fn digest(&self) -> RequestDigest {
        self.identity.digest()
    }
}

impl Quarantine {
    /// Returns whether a request may be sent to a back end of a service now.
    pub(crate) fn permission(
        &self,
        service: &ServiceName,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Permission {
        let assessment = self.assessment();
        if assessment.is_empty(service) {
            return Permission::Free;
        }
        let digest = digest();
        match assessment.status(service, digest) {
            RequestStatus::Free => Permission::Free,
            RequestStatus::Suspected { .. } => Permission::OneAtATime,
            RequestStatus::Quarantined(quarantined) => {
                self.permission_of_quarantined(service, quarantined)
            }
        }
    }

    fn permission_of_quarantined(
        &self,
        service: &ServiceName,
        quarantined: &QuarantinedRequest,
    ) -> Permission {
        let until_expiry = self.retention.saturating_sub(self.since_crash(quarantined));
        if until_expiry.is_zero() {
            return Permission::OneAtATime;
        }
        let until_trial = self.until_trial(service, quarantined);
        match until_trial {
            Some(Duration::ZERO) => Permission::OnTrial,
            _ => Permission::Quarantined {
                crashes: quarantined.crashes,
                remaining: until_trial.map_or(until_expiry, |until| until.min(until_expiry)),
            },
        }
    }

    fn since_crash(&self, quarantined: &QuarantinedRequest) -> Duration {
        let now_ms = self.table.now_ms().unwrap_or_default();
        Duration::from_millis(now_ms.saturating_sub(quarantined.last_crash_ms))
    }

    /// Returns the time until a quarantined request is tried. None if it is not.
    pub(super) fn until_trial(
        &self,
        service: &ServiceName,
        quarantined: &QuarantinedRequest,
    ) -> Option<Duration> {
        let is_tried = match quarantined.reason {
            HoldReason::SeveralSuspects | HoldReason::OtherCause => {
                quarantined.crashes < MAX_CRASHES_TO_TRY
            }
            HoldReason::SoleSuspect | HoldReason::TrialsExhausted => {
                self.runs_other_software(service, quarantined)
            }
        };
        is_tried.then(|| TRIAL_DELAY.saturating_sub(self.since_crash(quarantined)))
    }

    /// True if every back end that takes work runs software that has not crashed under the
    /// request, so that the fault may be fixed. Weight versions do not count: they change too
    /// often, and each trial may crash a back end.
    fn runs_other_software(&self, service: &ServiceName, quarantined: &QuarantinedRequest) -> bool {
        let in_use = self.software_in_use(service);
        let in_use = in_use.filter(|in_use| !in_use.is_empty() && !quarantined.software.is_empty());
        in_use.is_some_and(|in_use| in_use.is_disjoint(&quarantined.software))
    }
}
