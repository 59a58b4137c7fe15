//! Whether a request may go to a back end.

use super::{Quarantine, RequestIdentity, RunWatch};
use crate::back_end::BackEnd;
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_quarantine::{Held, RequestDigest, Standing, Suspect, TRIAL_PAUSE};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::ServiceName;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may go to a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// Nothing speaks against it.
    Free,
    /// A back end has crashed while it was there: it goes to one back end at a time, so that
    /// it ends no second one before the first crash is known.
    OneAtATime,
    /// It may be tried once, if no other request of the service is being tried.
    OnTrial,
    /// It is kept from back ends for so long.
    Held {
        /// Back ends that crashed under it.
        crashes: usize,
        /// How much longer.
        left: Duration,
    },
}

/// What lets a request go to back ends: the quarantine's word, asked anew at each send.
#[derive(Clone)]
pub(crate) struct Passage {
    quarantine: Arc<Quarantine>,
    service: ServiceName,
    identity: Arc<RequestIdentity>,
    is_on_trial: bool,
}

impl Passage {
    /// The passage of a request to the back ends of a service.
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
        }
    }

    /// Whether the request may go to a back end now.
    pub(crate) fn permission(&self) -> Permission {
        self.quarantine.permission(&self.service, || self.digest())
    }

    /// True if the request may leave for a back end now.
    pub(crate) fn is_open(&self) -> bool {
        match self.permission() {
            Permission::Free | Permission::OneAtATime => true,
            Permission::OnTrial => self.is_on_trial,
            Permission::Held { .. } => false,
        }
    }

    /// True if the request may be at several back ends at the same time.
    pub(crate) fn may_be_hedged(&self) -> bool {
        !self.is_on_trial && self.permission() == Permission::Free
    }

    /// True if the request is on trial: it goes to one back end, once.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Opens the passage of a request that may be tried, if no other request of its service is
    /// being tried; every other one stays as it is. A trial is over by `until`.
    pub(crate) async fn ask_for_trial(&mut self, until: BootInstant) {
        if self.permission() == Permission::OnTrial {
            let suspect = Suspect {
                service: self.service.clone(),
                digest: self.digest(),
            };
            self.is_on_trial = self.quarantine.begin_trial(&suspect, until).await;
        }
    }

    /// The refusal of a request whose passage is closed; nothing if it is open.
    pub(crate) fn refusal(&self) -> Option<Problem> {
        let (crashes, left) = match self.permission() {
            Permission::Free | Permission::OneAtATime => return None,
            Permission::OnTrial if self.is_on_trial => return None,
            Permission::OnTrial => (None, TRIAL_PAUSE),
            Permission::Held { crashes, left } => (Some(crashes), left),
        };
        telemetry::request_quarantined(self.service.as_str());
        let digest = self.digest();
        let detail = match crashes {
            Some(crashes) => format!("{crashes} back ends have crashed under request {digest}"),
            None => format!("back ends have crashed under request {digest}; another is tried now"),
        };
        let problem = Problem::new(ResultCode::RequestQuarantined, detail);
        Some(problem.with_retry_after_ms(left.as_millis() as u64))
    }

    /// Watches over the request while it may be running at a back end.
    pub(crate) fn watch_run(&self, back_end: &Arc<BackEnd>) -> RunWatch {
        let (quarantine, identity) = (&self.quarantine, &self.identity);
        RunWatch::new(
            Arc::clone(quarantine),
            Arc::clone(back_end),
            Arc::clone(identity),
        )
    }

    /// What the request is known by when it comes again.
    pub(crate) fn digest(&self) -> RequestDigest {
        self.identity.digest()
    }
}

impl Quarantine {
    /// Whether a request may go to a back end of a service now.
    pub(crate) fn permission(
        &self,
        service: &ServiceName,
        digest: impl FnOnce() -> RequestDigest,
    ) -> Permission {
        let judgement = self.judgement();
        if judgement.is_empty(service) {
            return Permission::Free;
        }
        match judgement.standing(service, digest()) {
            Standing::Free => Permission::Free,
            Standing::Suspected { .. } => Permission::OneAtATime,
            Standing::Held(held) => self.permission_of_held(service, held),
        }
    }

    fn permission_of_held(&self, service: &ServiceName, held: &Held) -> Permission {
        let now_ms = self.table.now_ms().unwrap_or_default();
        let since_crash = Duration::from_millis(now_ms.saturating_sub(held.last_ms));
        let left = self.hold.saturating_sub(since_crash);
        if left.is_zero() {
            return Permission::OneAtATime;
        }
        let pause_left = TRIAL_PAUSE.saturating_sub(since_crash);
        let may_be_tried = !held.is_clear || self.runs_other_software(service, held);
        match (may_be_tried, pause_left.is_zero()) {
            (true, true) => Permission::OnTrial,
            (true, false) => Permission::Held {
                crashes: held.crashes,
                left: pause_left,
            },
            (false, _) => Permission::Held {
                crashes: held.crashes,
                left,
            },
        }
    }

    /// True if every back end that takes work runs software that has not crashed under the
    /// request: the fault may be mended. Weights are no reason: there are new ones every few
    /// seconds to minutes, and each would cost a back end.
    fn runs_other_software(&self, service: &ServiceName, held: &Held) -> bool {
        let in_use = self.software_in_use(service);
        let in_use = in_use.filter(|in_use| !in_use.is_empty() && !held.software.is_empty());
        in_use.is_some_and(|in_use| in_use.is_disjoint(&held.software))
    }
}
