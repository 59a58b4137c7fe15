//! One engine, as the owner of its service sees it.

use super::engine_sends::EngineSends;
use super::pace::PaceMeter;
use crate::back_end::BackEnd;
use crate::events::{self, Event};
use crate::loss_backoff::LossBackoff;
use sloetrail_balance::{ColdBudget, SendBound};
use sloetrail_clock::BootInstant;
use sloetrail_types::WeightVersion;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An engine counts as slow from this many times the median pace on.
const SLOW_FACTOR: f64 = 2.0;
/// A slow engine counts as recovered below this many times the median pace.
const RECOVERED_FACTOR: f64 = 1.5;
/// How often a slow engine gets one item, to see whether it still is slow.
const PROBE_PERIOD: Duration = Duration::from_millis(1_500);
/// How long an engine that refused an item gets no other.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);
/// How long a place is kept for an item whose run elsewhere is being closed.
const PLACE_KEPT_FOR: Duration = Duration::from_millis(200);
/// How long an engine that an owner has taken in counts as cold, whatever is known of it: the
/// sends of the owner before, which this one does not know, are over by then.
const TAKEN_IN_FOR: Duration = Duration::from_millis(1_100);
/// How long a change of weights may take before the engine is asked again.
const CHANGE_LIMIT: Duration = Duration::from_millis(4_000);

/// A change of weights that an engine has accepted.
#[derive(Clone, Debug)]
pub(super) struct VersionChangeUnderWay {
    pub(super) model: String,
    pub(super) version: WeightVersion,
    pub(super) accepted_at: BootInstant,
}

/// What an engine's state in the deployment means for sends to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sparing {
    /// True if nothing is to be sent to its zone for now.
    pub(super) evacuated: bool,
    /// Until when it is cold.
    pub(super) cold_until: Option<BootInstant>,
    /// What it may get while it is cold, and unnoticed; nothing means as much as it takes.
    pub(super) budget: Option<ColdBudget>,
}

/// One engine.
pub(super) struct Engine {
    pub(super) back_end: Arc<BackEnd>,
    pub(super) running: usize,
    pub(super) pace: Arc<PaceMeter>,
    /// The versions that it is believed to use.
    pub(super) versions: BTreeMap<String, WeightVersion>,
    pub(super) change: Option<VersionChangeUnderWay>,
    /// The model that it is kept up to date for.
    pub(super) assigned: Option<String>,
    /// True while a call about an order is on its way.
    pub(super) is_being_ordered: bool,
    /// No order is given before.
    pub(super) order_not_before: BootInstant,
    is_slow: bool,
    /// Until when a place is kept for an item that is moved here.
    place_kept_until: Option<BootInstant>,
    probed_at: BootInstant,
    not_before: BootInstant,
    /// When it last brought an item to its end. Its connection is kept for some seconds.
    finished_at: Option<BootInstant>,
    /// Connections that items have left behind and no later item was sent over. Items that
    /// are started together all find the same ones at rest.
    left_connections: usize,
    losses: LossBackoff,
    sparing: Sparing,
    /// What this owner sent it last.
    sends: Arc<EngineSends>,
    /// When this owner took it in.
    taken_in_at: BootInstant,
}

/// What an item demands of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand<'a> {
    pub(super) model: Option<&'a str>,
    pub(super) oldest_version: WeightVersion,
}

impl Engine {
    /// An engine as the directory lists it.
    pub(super) fn new(back_end: &Arc<BackEnd>) -> Self {
        let now = BootInstant::now();
        Self {
            back_end: Arc::clone(back_end),
            running: 0,
            pace: Arc::default(),
            versions: back_end.versions.clone(),
            change: None,
            assigned: None,
            is_being_ordered: false,
            order_not_before: now,
            is_slow: false,
            place_kept_until: None,
            probed_at: now,
            not_before: now,
            finished_at: None,
            left_connections: 0,
            losses: LossBackoff::default(),
            sparing: Sparing::default(),
            sends: Arc::new(EngineSends::new(now)),
            taken_in_at: now,
        }
    }

    /// Takes in the engine's row. A version there counts only if it is news: the row
    /// lags behind what the engine's own answers have told.
    pub(super) fn take_row(&mut self, back_end: &Arc<BackEnd>) {
        for (model, version) in &back_end.versions {
            if self.back_end.versions.get(model) != Some(version) {
                self.note_version(model, *version, "directory");
            }
        }
        self.back_end = Arc::clone(back_end);
    }

    /// Takes in what its state in the deployment means for sends to it.
    pub(super) fn set_sparing(&mut self, sparing: Sparing) {
        self.sparing = sparing;
    }

    /// The directory lists the engine no more.
    pub(super) fn mark_gone(&mut self) {
        if !self.back_end.draining {
            let mut gone = BackEnd::clone(&self.back_end);
            gone.draining = true;
            self.back_end = Arc::new(gone);
        }
    }

    /// Takes in a version that the engine is known to use.
    pub(super) fn note_version(&mut self, model: &str, version: WeightVersion, source: &str) {
        if self.versions.get(model) == Some(&version) {
            return;
        }
        self.versions.insert(model.to_owned(), version);
        let is_done = self
            .change
            .as_ref()
            .is_some_and(|change| change.model == model && version >= change.version);
        if is_done {
            self.change = None;
        }
        events::emit(&Event::VersionInForce {
            back_end: self.back_end.id.as_str(),
            model,
            version: version.0,
            source,
        });
    }

    /// The version of a model that the engine is believed to use.
    pub(super) fn version(&self, model: &str) -> WeightVersion {
        self.versions.get(model).copied().unwrap_or_default()
    }

    /// True if the engine is kept up to date for a model.
    pub(super) fn is_assigned(&self, model: &str) -> bool {
        self.assigned.as_deref() == Some(model)
    }

    /// True unless the engine leaves or its zone is evacuated.
    pub(super) fn takes_work(&self) -> bool {
        !self.back_end.draining && !self.sparing.evacuated
    }

    /// True if the engine is known to be cold.
    pub(super) fn is_cold(&self, now: BootInstant) -> bool {
        self.sparing.cold_until.is_some_and(|until| now < until)
    }

    /// True if something runs there, or was sent there so lately that it still counts.
    pub(super) fn is_in_use(&self, now: BootInstant) -> bool {
        self.running > 0 || self.sends.is_in_use(now)
    }

    /// What may be sent to the engine now; nothing if that is not bounded.
    fn send_bound(&self, now: BootInstant) -> Option<SendBound> {
        let budget = self.sparing.budget?;
        let is_new = now < self.taken_in_at + TAKEN_IN_FOR;
        Some(match self.is_cold(now) || is_new {
            true => budget.owner_bound(),
            false => budget.possibly_cold_bound(),
        })
    }

    /// True if the engine bears one more item at this moment.
    fn bears_more(&self, now: BootInstant) -> bool {
        let bound = self.send_bound(now);
        bound.is_none_or(|bound| self.sends.has_room(now, bound))
    }

    /// Where runs count what they send the engine again.
    pub(super) fn sends(&self) -> Arc<EngineSends> {
        Arc::clone(&self.sends)
    }

    /// What may be sent again by a run that has met a silence; nothing if that is not
    /// bounded. The engine may have turned cold meanwhile.
    pub(super) fn repeat_bound(&self) -> Option<SendBound> {
        self.sparing.budget.map(|budget| budget.owner_bound())
    }

    /// True if the engine takes work and was not lost or did not refuse just now.
    pub(super) fn is_usable(&self, now: BootInstant) -> bool {
        self.takes_work() && self.losses.is_over(now) && now >= self.not_before
    }

    /// True if the engine takes an item with this demand now.
    pub(super) fn can_take(&self, demand: Demand<'_>, now: BootInstant) -> bool {
        let has_room = match self.is_slow {
            true => self.running == 0 && now >= self.probed_at + PROBE_PERIOD,
            false => self.free_places(now) > 0,
        };
        self.is_usable(now) && has_room && self.bears_more(now) && self.has_version(demand)
    }

    /// Places that neither a run nor an item that is moved here has taken.
    pub(super) fn free_places(&self, now: BootInstant) -> usize {
        let is_kept = self.place_kept_until.is_some_and(|until| now < until);
        let taken = self.running + usize::from(is_kept);
        self.back_end.slots.saturating_sub(taken)
    }

    /// Keeps a place for an item that is moved here, for a short time.
    pub(super) fn keep_place(&mut self, now: BootInstant) {
        self.place_kept_until = Some(now + PLACE_KEPT_FOR);
    }

    /// The item that a place was kept for has come, or will not come.
    pub(super) fn release_place(&mut self) {
        self.place_kept_until = None;
    }

    fn has_version(&self, demand: Demand<'_>) -> bool {
        let Some(model) = demand.model else {
            return true;
        };
        let is_changing = self
            .change
            .as_ref()
            .is_some_and(|change| change.model == model);
        !is_changing && self.version(model) >= demand.oldest_version
    }

    /// True if the engine is much slower than the others.
    pub(super) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// An item was sent to the engine.
    pub(super) fn started(&mut self) {
        self.running += 1;
        self.left_connections = self.left_connections.saturating_sub(1);
        let now = BootInstant::now();
        self.sends.note(now);
        if self.is_slow {
            self.probed_at = now;
            self.pace.reset();
        }
    }

    /// The engine refused an item without running it.
    pub(super) fn refused(&mut self) {
        self.not_before = BootInstant::now() + REFUSED_PAUSE;
    }

    /// The engine could not be reached, broke off or fell silent.
    pub(super) fn lost(&mut self) {
        self.losses.record_loss(BootInstant::now());
    }

    /// The engine brought an item to its end.
    pub(super) fn finished(&mut self) {
        self.losses.record_success();
        self.finished_at = Some(BootInstant::now());
        self.left_connections += 1;
    }

    /// True if an item may find a connection that another one has left, if it still rests.
    pub(super) fn has_left_connection(&self) -> bool {
        self.left_connections > 0
    }

    /// When it last brought an item to its end.
    pub(super) fn finished_at(&self) -> Option<BootInstant> {
        self.finished_at
    }

    /// Forgets a change of weights that takes too long: the engine is asked again.
    pub(super) fn expire_change(&mut self, now: BootInstant) {
        let is_late = |change: &VersionChangeUnderWay| now > change.accepted_at + CHANGE_LIMIT;
        if self.change.as_ref().is_some_and(is_late) {
            self.change = None;
        }
    }

    /// Compares its pace with the median; true if its mark has changed.
    pub(super) fn judge_pace(&mut self, median: u64) -> bool {
        let Some(pace) = self.pace.microseconds() else {
            return false;
        };
        let factor = pace as f64 / median.max(1) as f64;
        let is_slow = match self.is_slow {
            true => factor > RECOVERED_FACTOR,
            false => factor > SLOW_FACTOR,
        };
        if is_slow == self.is_slow {
            return false;
        }
        self.is_slow = is_slow;
        self.probed_at = BootInstant::now();
        events::emit(&Event::PaceChanged {
            back_end: self.back_end.id.as_str(),
            slow: is_slow,
            pace_us: pace,
            median_us: median,
        });
        true
    }
}
