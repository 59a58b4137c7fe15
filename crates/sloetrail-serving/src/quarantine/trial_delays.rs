//! How long a quarantined request waits for its trial.

use sloetrail_quarantine::{MIN_CRASHES_TO_QUARANTINE, TRIAL_DELAY};
use std::time::Duration;

/// Share of a step's time that a request waits after the last crash of its service. The rest of a
/// tenth of the step's time is left for the trials themselves.
const QUIET_SHARE_OF_STEP: u32 = 20;
/// Crashes of one cause are reported within this time of each other.
const MIN_QUIET: Duration = Duration::from_millis(300);
/// Share of a step's time that a request waits after its own last crash while other back ends go on
/// crashing.
const DISTURBED_SHARE_OF_STEP: u32 = 2;
const MAX_DISTURBED_DELAY: Duration = Duration::from_secs(10);

/// Delay of the first trial of a sole suspect that waits. Each further delay is longer.
const SOLE_SUSPECT_DELAY: Duration = Duration::from_secs(60);
const SOLE_SUSPECT_DELAY_FACTOR: u32 = 8;

/// Number of crashes from which on a request is tried as rarely as a sole suspect.
const MAX_CRASHES_TO_TRY_SOON: usize = 5;

/// How long a quarantined request waits for its trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TrialDelays {
    /// The time without crashes of the service after which it is tried.
    quiet: Duration,
    /// The time since its own last crash after which it is tried in any case.
    disturbed: Duration,
    /// True if work is held until the trial. Otherwise the request has been refused, and its caller
    /// knows.
    is_held: bool,
}

impl TrialDelays {
    /// The delays of a request whose caller waits for an answer.
    pub(crate) fn of_refused_request() -> Self {
        Self {
            quiet: TRIAL_DELAY,
            disturbed: TRIAL_DELAY,
            is_held: false,
        }
    }

    /// The delays of a request that is held while it is quarantined, as a part of a step that should
    /// be complete within `run_target`; zero if that is unknown.
    pub(crate) fn of_held_request(run_target: Duration) -> Self {
        let quiet = match run_target.is_zero() {
            true => TRIAL_DELAY,
            false => (run_target / QUIET_SHARE_OF_STEP).clamp(MIN_QUIET, TRIAL_DELAY),
        };
        let disturbed = run_target / DISTURBED_SHARE_OF_STEP;
        Self {
            quiet,
            disturbed: disturbed.clamp(TRIAL_DELAY, MAX_DISTURBED_DELAY),
            is_held: true,
        }
    }

    /// True if work is held until the trial.
    pub(super) fn is_held(self) -> bool {
        self.is_held
    }

    /// Returns the time until a request may be tried that may be innocent. None if it may not.
    pub(super) fn until_trial_of_doubtful(
        self,
        crashes: usize,
        since_disturbed: Duration,
        since_crash: Duration,
    ) -> Option<Duration> {
        match crashes {
            0..MAX_CRASHES_TO_TRY_SOON => Some(self.until_trial(since_disturbed, since_crash)),
            _ => self
                .is_held
                .then(|| SOLE_SUSPECT_DELAY.saturating_sub(since_crash)),
        }
    }

    /// Returns the time until a request may be tried that may be innocent, given the time since the
    /// service was disturbed and since the request's own last crash.
    fn until_trial(self, since_disturbed: Duration, since_crash: Duration) -> Duration {
        let until_quiet = self.quiet.saturating_sub(since_disturbed);
        until_quiet.min(self.disturbed.saturating_sub(since_crash))
    }

    /// Returns the time until a sole suspect is tried. None if it is not.
    pub(super) fn until_trial_of_sole_suspect(
        self,
        crashes: usize,
        since_crash: Duration,
    ) -> Option<Duration> {
        let trials = crashes.saturating_sub(MIN_CRASHES_TO_QUARANTINE);
        let factor = SOLE_SUSPECT_DELAY_FACTOR.saturating_pow(u32::try_from(trials).ok()?);
        let delay = SOLE_SUSPECT_DELAY.saturating_mul(factor);
        self.is_held.then(|| delay.saturating_sub(since_crash))
    }
}

#[cfg(test)]
mod tests;
