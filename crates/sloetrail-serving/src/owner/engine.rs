//! State that the owner of a service keeps for one engine.

mod scarce;

use super::engine_sends::EngineSends;
use super::event_interval::EventIntervalMeter;
use super::scarce_slowness::ScarceSlowness;
use crate::back_end::BackEnd;
use crate::events::{self, Event};
use crate::loss_backoff::LossBackoff;
use sloetrail_balance::{ColdBudget, SendBound};
use sloetrail_clock::BootInstant;
use sloetrail_types::WeightVersion;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An engine is slow above this multiple of the median event interval.
const SLOW_FACTOR: f64 = 2.0;
/// A slow engine has recovered at or below this multiple of the median event interval.
const RECOVERED_FACTOR: f64 = 1.5;
/// How often a slow engine gets an item, to measure its event interval again.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long an engine that refused an item gets no further ones.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(40);
/// How long a slot is reserved for an item whose run at another engine is being cancelled.
const SLOT_RESERVATION_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a newly added engine counts as cold. Sends of a previous owner are unknown to this
/// one and no longer count after this time.
const NEW_ENGINE_COLD_TIME: Duration = Duration::from_millis(1_100);
const MICROS_PER_SECOND: f64 = 1e6;
/// A version change that takes longer is ordered again.
const VERSION_CHANGE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A version change that an engine has accepted and not reported as done.
#[derive(Clone, Debug)]
pub(super) struct VersionChangeInFlight {
    pub(super) model: String,
    pub(super) version: WeightVersion,
    pub(super) accepted_at: BootInstant,
}

/// Limits on sends to an engine due to an evacuation or its cold start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendLimits {
    /// True if the engine's zone is evacuated: nothing is sent to it.
    pub(super) evacuated: bool,
    pub(super) cold_until: Option<BootInstant>,
    /// Bounds while the engine is cold, or may be cold unnoticed. None if sends are unbounded.
    pub(super) budget: Option<ColdBudget>,
}

pub(super) struct Engine {
    pub(super) back_end: Arc<BackEnd>,
    pub(super) running: usize,
    pub(super) event_interval: Arc<EventIntervalMeter>,
    /// The last known version of each model.
    pub(super) versions: BTreeMap<String, WeightVersion>,
    pub(super) change: Option<VersionChangeInFlight>,
    /// Duration of the last completed change, until it is taken.
    change_duration: Option<Duration>,
    /// The model whose versions the engine is kept up to date with.
    pub(super) assigned: Option<String>,
    /// True while a status or order call is in flight.
    pub(super) has_order_in_flight: bool,
    pub(super) order_not_before: BootInstant,
    is_slow: bool,
    scarce_slowness: ScarceSlowness,
    /// End of the reservation for an item that moves to this engine.
    slot_reserved_until: Option<BootInstant>,
    probed_at: BootInstant,
    refused_until: BootInstant,
    /// When the last item finished. Its connection stays open for some seconds.
    last_finished_at: Option<BootInstant>,
    /// Upper estimate of idle connections: finished items minus later sends. The connection pool
    /// alone would offer the same idle connection to all items that start together.
    idle_connections: usize,
    losses: LossBackoff,
    send_limits: SendLimits,
    sends: Arc<EngineSends>,
    added_at: BootInstant,
}

/// The model and version that an item requires of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelRequirement<'a> {
    pub(super) model: Option<&'a str>,
    pub(super) oldest_version: WeightVersion,
}

impl Engine {
    pub(super) fn new(back_end: &Arc<BackEnd>) -> Self {
        let now = BootInstant::now();
        Self {
            back_end: Arc::clone(back_end),
            running: 0,
            event_interval: Arc::default(),
            versions: back_end.versions.clone(),
            change: None,
            change_duration: None,
            assigned: None,
            has_order_in_flight: false,
            order_not_before: now,
            is_slow: false,
            scarce_slowness: ScarceSlowness::default(),
            slot_reserved_until: None,
            probed_at: now,
            refused_until: now,
            last_finished_at: None,
            idle_connections: 0,
            losses: LossBackoff::default(),
            send_limits: SendLimits::default(),
            sends: Arc::new(EngineSends::new(now)),
            added_at: now,
        }
    }

    /// Applies the engine's directory row. A version counts only if the row has changed: rows lag
    /// behind the versions in the engine's own answers.
    pub(super) fn apply_row(&mut self, back_end: &Arc<BackEnd>) {
        for (model, version) in &back_end.versions {
            if self.back_end.versions.get(model) != Some(version) {
                self.record_version(model, *version, "directory");
            }
        }
        self.back_end = Arc::clone(back_end);
    }

    pub(super) fn set_send_limits(&mut self, send_limits: SendLimits) {
        self.send_limits = send_limits;
    }

    /// Marks an engine that the directory no longer lists as draining.
    pub(super) fn mark_unlisted(&mut self) {
        if !self.back_end.draining {
            let mut unlisted = BackEnd::clone(&self.back_end);
            unlisted.draining = true;
            self.back_end = Arc::new(unlisted);
        }
    }

    /// Records the version that the engine uses, and completes a pending change to it.
    pub(super) fn record_version(&mut self, model: &str, version: WeightVersion, source: &str) {
        if self.versions.get(model) == Some(&version) {
            return;
        }
        self.versions.insert(model.to_owned(), version);
        let is_done = self
            .change
            .as_ref()
            .is_some_and(|change| change.model == model && version >= change.version);
        if is_done {
            let change = self.change.take();
            self.change_duration = change.map(|change| change.accepted_at.elapsed());
        }
        events::emit(&Event::VersionInForce {
            back_end: self.back_end.id.as_str(),
            model,
            version: version.0,
            source,
        });
    }

    /// Returns the duration of the last completed change, once.
    pub(super) fn take_change_duration(&mut self) -> Option<Duration> {
        self.change_duration.take()
    }

    /// The last known version of a model; zero if unknown.
    pub(super) fn version(&self, model: &str) -> WeightVersion {
        self.versions.get(model).copied().unwrap_or_default()
    }

    pub(super) fn is_assigned(&self, model: &str) -> bool {
        self.assigned.as_deref() == Some(model)
    }

    /// True unless the engine is draining or its zone is evacuated.
    pub(super) fn takes_work(&self) -> bool {
        !self.back_end.draining && !self.send_limits.evacuated
    }

    pub(super) fn is_cold(&self, now: BootInstant) -> bool {
        self.send_limits.cold_until.is_some_and(|until| now < until)
    }

    /// True if items run at the engine or its send window still counts a send.
    pub(super) fn is_in_use(&self, now: BootInstant) -> bool {
        self.running > 0 || self.sends.is_in_use(now)
    }

    /// The bound on sends at this time. None if sends are unbounded.
    fn send_bound(&self, now: BootInstant) -> Option<SendBound> {
        let budget = self.send_limits.budget?;
        let is_new = now < self.added_at + NEW_ENGINE_COLD_TIME;
        Some(match self.is_cold(now) || is_new {
            true => budget.owner_bound(),
            false => budget.possibly_cold_bound(),
        })
    }

    /// True if the send bound allows one more item.
    fn allows_send(&self, now: BootInstant) -> bool {
        let bound = self.send_bound(now);
        bound.is_none_or(|bound| self.sends.has_room(now, bound))
    }

    /// The send window, in which runs count the requests that they repeat.
    pub(super) fn sends(&self) -> Arc<EngineSends> {
        Arc::clone(&self.sends)
    }

    /// The bound on requests that a run repeats at an unresponsive engine. None if sends are
    /// unbounded. The bound for cold engines applies, since the engine may have turned cold.
    pub(super) fn resend_bound(&self) -> Option<SendBound> {
        self.send_limits.budget.map(|budget| budget.owner_bound())
    }

    /// True if the engine takes work and no backoff after a loss or refusal applies.
    pub(super) fn is_usable(&self, now: BootInstant) -> bool {
        self.takes_work() && self.losses.is_over(now) && now >= self.refused_until
    }

    /// True if the engine has accepted a change of this model's version.
    pub(super) fn is_changing_to(&self, model: &str) -> bool {
        let change = self.change.as_ref();
        change.is_some_and(|change| change.model == model)
    }

    /// True if a weight order may be sent to the engine now.
    pub(super) fn may_be_ordered(&self, now: BootInstant) -> bool {
        let is_changing = self.change.is_some() || self.has_order_in_flight;
        self.is_usable(now) && !is_changing && now >= self.order_not_before
    }

    /// True if the engine can run an item now. A slow engine gets one item per probe interval.
    pub(super) fn can_take(&self, requirement: ModelRequirement<'_>, now: BootInstant) -> bool {
        let has_room = match self.is_slow {
            true => self.running == 0 && now >= self.probed_at + PROBE_INTERVAL,
            false => self.free_slots(now) > 0,
        };
        self.is_usable(now)
            && has_room
            && self.allows_send(now)
            && self.meets_requirement(requirement)
    }

    /// Slots that are neither occupied nor reserved.
    pub(super) fn free_slots(&self, now: BootInstant) -> usize {
        let is_reserved = self.slot_reserved_until.is_some_and(|until| now < until);
        let taken = self.running + usize::from(is_reserved);
        self.back_end.slots.saturating_sub(taken)
    }

    /// Reserves a slot for an item that moves to this engine.
    pub(super) fn reserve_slot(&mut self, now: BootInstant) {
        self.slot_reserved_until = Some(now + SLOT_RESERVATION_TIMEOUT);
    }

    /// Ends the reservation: the item has arrived or will not.
    pub(super) fn release_slot(&mut self) {
        self.slot_reserved_until = None;
    }

    fn meets_requirement(&self, requirement: ModelRequirement<'_>) -> bool {
        let Some(model) = requirement.model else {
            return true;
        };
        !self.is_changing_to(model) && self.version(model) >= requirement.oldest_version
    }

    pub(super) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Events per second that the engine makes with all slots in use. If its lasting interval is
    /// unknown, `default_interval_us` applies; None if that is unknown too.
    pub(super) fn capacity(&self, default_interval_us: Option<u64>) -> Option<f64> {
        let known_us = self.event_interval.lasting_microseconds();
        let interval_us = known_us.or(default_interval_us)?.max(1);
        Some(self.back_end.slots as f64 * MICROS_PER_SECOND / interval_us as f64)
    }

    /// Records an item that is sent to the engine.
    pub(super) fn record_start(&mut self) {
        self.running += 1;
        self.idle_connections = self.idle_connections.saturating_sub(1);
        let now = BootInstant::now();
        self.sends.record(now);
        if self.is_slow {
            self.probed_at = now;
            self.event_interval.reset();
        }
    }

    /// Records that the engine refused an item without running it.
    pub(super) fn record_refusal(&mut self) {
        self.refused_until = BootInstant::now() + REFUSAL_BACKOFF;
    }

    /// Records that the engine was unreachable, broke off an answer or became unresponsive.
    pub(super) fn record_loss(&mut self) {
        self.losses.record_loss(BootInstant::now());
    }

    /// Records a run that the engine answered, successfully or not.
    pub(super) fn record_completion(&mut self) {
        self.losses.record_success();
        self.last_finished_at = Some(BootInstant::now());
        self.idle_connections += 1;
    }

    /// True if an item may find an idle connection, unless that has been closed meanwhile.
    pub(super) fn may_have_idle_connection(&self) -> bool {
        self.idle_connections > 0
    }

    pub(super) fn last_finished_at(&self) -> Option<BootInstant> {
        self.last_finished_at
    }

    /// Drops a version change that has timed out, so that it is ordered again.
    pub(super) fn expire_change(&mut self, now: BootInstant) {
        let has_timed_out =
            |change: &VersionChangeInFlight| now > change.accepted_at + VERSION_CHANGE_TIMEOUT;
        if self.change.as_ref().is_some_and(has_timed_out) {
            self.change = None;
        }
    }

    /// Compares the event interval with the median, in microseconds. Returns true if the engine
    /// became slow or recovered.
    pub(super) fn update_slow(&mut self, median: u64) -> bool {
        let Some(interval_us) = self.event_interval.microseconds() else {
            return false;
        };
        let factor = interval_us as f64 / median.max(1) as f64;
        let is_slow = match self.is_slow {
            true => factor > RECOVERED_FACTOR,
            false => factor > SLOW_FACTOR,
        };
        self.set_slow(is_slow, interval_us, median)
    }

    /// Returns true if the engine became slow or recovered.
    fn set_slow(&mut self, is_slow: bool, interval_us: u64, median_us: u64) -> bool {
        if is_slow == self.is_slow {
            return false;
        }
        self.is_slow = is_slow;
        self.probed_at = BootInstant::now();
        events::emit(&Event::PaceChanged {
            back_end: self.back_end.id.as_str(),
            slow: is_slow,
            pace_us: interval_us,
            median_us,
        });
        true
    }
}
