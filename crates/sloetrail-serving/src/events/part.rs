//! The log target and the rate limit of each event.

use super::Event;
use super::rate_limiter::RateLimiter;
use sloetrail_result::ResultCode;

/// The limit for each kind of frequent event.
const ORDINARY_LINES_PER_SECOND: u32 = 20;

impl Event<'_> {
    /// The part of the program that the event belongs to, used as its log target.
    pub fn part(&self) -> &'static str {
        match self {
            Event::NodeStarted { .. }
            | Event::NodeStopping { .. }
            | Event::NodeStopStage { .. }
            | Event::NodeStopped { .. }
            | Event::SettingsNumberHeld { .. }
            | Event::TaskPanicked { .. }
            | Event::SettingsReloaded { .. }
            | Event::ConnectionsCondemned { .. }
            | Event::ProcessPaused { .. }
            | Event::LinesDropped { .. } => "node",
            Event::DependencyLost { .. }
            | Event::DependencyRegained { .. }
            | Event::ViewOverdue { .. }
            | Event::ViewConfirmed { .. }
            | Event::RelayBegan { .. }
            | Event::RelayEnded { .. } => "table",
            Event::ConfigurationInForce { .. }
            | Event::ConfigurationNumberHeld { .. }
            | Event::ConfigurationOutdated { .. }
            | Event::ConfigurationRefused { .. }
            | Event::RegionsExclude { .. }
            | Event::RowUnreadable { .. }
            | Event::VersionPublished { .. }
            | Event::EvacuationChanged { .. }
            | Event::EvacuationSettled { .. }
            | Event::OwnRegionUnknown { .. } => "config",
            Event::BackEndChanged { .. }
            | Event::BackEndRestarted { .. }
            | Event::DirectoryRead { .. }
            | Event::BackEndCrashed { .. }
            | Event::CrashNotConfirmed { .. }
            | Event::PaceChanged { .. }
            | Event::DemandTold { .. }
            | Event::BacklogReported { .. }
            | Event::EnginesOrdered { .. } => "engine",
            Event::RequestAnswered { .. }
            | Event::RequestFailed { .. }
            | Event::RequestEndedByStop { .. }
            | Event::AttemptFailed { .. }
            | Event::EventRefused { .. }
            | Event::RequestHeld { .. }
            | Event::RequestReleased { .. }
            | Event::RequestTried { .. }
            | Event::TrialRefused { .. }
            | Event::ClaimLeft { .. }
            | Event::ClaimsDeleted { .. } => "gateway",
            Event::BatchAccepted { .. }
            | Event::BatchWaits { .. }
            | Event::BatchRefused { .. }
            | Event::BatchEnded { .. }
            | Event::BatchOpened { .. }
            | Event::TriageChanged { .. }
            | Event::ItemStarted { .. }
            | Event::ItemUnplaced { .. }
            | Event::ItemInterrupted { .. }
            | Event::ItemMoved { .. }
            | Event::ItemDead { .. }
            | Event::ItemListed { .. }
            | Event::ResultsTooOld { .. }
            | Event::ItemsWaiting { .. }
            | Event::StepWhole { .. }
            | Event::RewardFailed { .. } => "batch",
            Event::LeaseManagerStarted { .. }
            | Event::LeaseManagerStopped { .. }
            | Event::BatchSetRetired { .. }
            | Event::LeaseTaken { .. }
            | Event::OwnerFoundGone { .. }
            | Event::LeaseLost { .. } => "lease",
            Event::OrderGiven { .. }
            | Event::VersionInForce { .. }
            | Event::EngineReassigned { .. } => "weights",
            Event::UsageReported { .. }
            | Event::UsageLeft { .. }
            | Event::WallClockAgreed { .. } => "usage",
        }
    }

    /// The rate limit of a frequent event; None if every event is logged.
    pub(super) fn limiter(&self) -> Option<&'static RateLimiter> {
        match self {
            Event::RequestAnswered { .. } => Some(&REQUESTS_ANSWERED),
            // Unauthenticated callers can send any number of wrong keys.
            Event::RequestFailed { code, .. } if is_refused_key(*code) => Some(&KEYS_REFUSED),
            // Other writers of the table can write any number of malformed rows.
            Event::RowUnreadable { .. } => Some(&ROWS_UNREADABLE),
            // A row that stays may make each of its readings panic.
            Event::TaskPanicked { .. } => Some(&TASKS_PANICKED),
            Event::ItemStarted { .. } => Some(&ITEMS_STARTED),
            Event::ItemListed { .. } => Some(&ITEMS_LISTED),
            Event::ItemMoved { .. } => Some(&ITEMS_MOVED),
            // Each repeat of a quarantined request may ask for a trial.
            Event::TrialRefused { .. } => Some(&TRIALS_REFUSED),
            // A faulty back end may spoil each of its streams.
            Event::EventRefused { .. } => Some(&EVENTS_REFUSED),
            _ => None,
        }
    }
}

/// True if a code refuses a key: permanently, or while the node cannot check whether it is new.
fn is_refused_key(code: u16) -> bool {
    [ResultCode::UnknownApiKey, ResultCode::ConfigurationStale]
        .iter()
        .any(|refusal| refusal.number() == code)
}

static REQUESTS_ANSWERED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static KEYS_REFUSED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static ROWS_UNREADABLE: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static TASKS_PANICKED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static ITEMS_STARTED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static ITEMS_LISTED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static ITEMS_MOVED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static TRIALS_REFUSED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);
static EVENTS_REFUSED: RateLimiter = RateLimiter::new(ORDINARY_LINES_PER_SECOND);

/// Returns the number of lines over their rate limit since the last call.
pub(super) fn take_thinned() -> u64 {
    let limiters = [
        &REQUESTS_ANSWERED,
        &KEYS_REFUSED,
        &ITEMS_STARTED,
        &ITEMS_LISTED,
        &ITEMS_MOVED,
        &TRIALS_REFUSED,
        &EVENTS_REFUSED,
        &ROWS_UNREADABLE,
        &TASKS_PANICKED,
    ];
    limiters.iter().map(|limiter| limiter.take_refused()).sum()
}

#[cfg(test)]
mod tests;
