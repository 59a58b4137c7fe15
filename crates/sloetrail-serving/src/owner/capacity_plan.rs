//! Distributes a model's capacity over its open batches, when these need more engine time than
//! is available before they are due.
//!
//! Batches are taken in order of urgency and, within one urgency, of due time. Each can use the
//! capacity that running texts and the batches before it leave. A batch that can be complete a
//! little after its due time is not divided: its trainer waits for all required groups, and a
//! step that ends a little late delays it less than one that is left unfinished. Of any other
//! batch, the groups that can be in time go first.

use sloetrail_balance::WorkTenant;
use sloetrail_batch::{BatchId, BatchWork, EventBudget, TriagedGroups, triage};
use sloetrail_types::{Timestamp, Urgency};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One start in this many goes to a late group while one waits, so that a step once begun is not
/// left unfinished indefinitely.
pub(super) const LATE_START_PERIOD: u32 = 8;
/// The share of the capacity that is left for groups in time while late groups wait.
const IN_TIME_SHARE: f64 = 1.0 - 1.0 / LATE_START_PERIOD as f64;

/// The work of an open batch.
#[derive(Clone, Debug)]
pub(super) struct PlannedBatch {
    pub(super) id: BatchId,
    pub(super) urgency: Urgency,
    pub(super) tenant: WorkTenant,
    /// The due time, or the expiry of a batch without due time.
    pub(super) ends_by: Timestamp,
    /// The time by which a complete batch is still of use to its trainer; at least `ends_by`.
    pub(super) useful_until: Timestamp,
    /// True if groups that cannot be complete by `ends_by` are classified as late.
    pub(super) has_due_time: bool,
    pub(super) work: BatchWork,
}

/// What the engines of a model generate.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelCapacity {
    /// With all slots in use.
    pub(super) events_per_second: f64,
    /// The median lasting interval between two events of a text.
    pub(super) event_interval: Duration,
}

/// The classes of the groups of a model's batches.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CapacityPlan {
    /// True if all batches with a due time can be complete while they are of use.
    pub(super) fits: bool,
    /// The groups of each batch that has a due time.
    pub(super) batches: Vec<(BatchId, TriagedGroups)>,
}

/// Plans which groups are in time. If not all are, the capacity for them excludes what
/// late groups may start meanwhile.
pub(super) fn plan_capacity(
    mut open: Vec<PlannedBatch>,
    capacity: ModelCapacity,
    now: Timestamp,
) -> CapacityPlan {
    open.sort_by(|left, right| left.order().cmp(&right.order()));
    let running = RunningTexts::new(&open);
    let free: Vec<BatchBudget> = open
        .iter()
        .map(|work| capacity.budget(work, &running, now))
        .collect();
    let all = distribute(&open, free.iter().copied());
    let batches = open.iter().zip(&all);
    let mut with_due_time = batches.filter(|(work, _)| work.has_due_time);
    let fits = with_due_time.all(|(_, groups)| groups.late.is_empty());
    let for_in_time = free.iter().map(|budget| budget.scaled(IN_TIME_SHARE));
    let groups = match fits {
        true => all,
        false => distribute(&open, for_in_time),
    };
    let batches = open.into_iter().zip(groups);
    let with_due_time = batches.filter(|(work, _)| work.has_due_time);
    CapacityPlan {
        fits,
        batches: with_due_time
            .map(|(work, groups)| (work.id, groups))
            .collect(),
    }
}

impl PlannedBatch {
    fn order(&self) -> (Urgency, Timestamp, &BatchId) {
        (self.urgency, self.ends_by, &self.id)
    }
}

/// What engines can generate for a batch.
#[derive(Clone, Copy, Debug)]
struct BatchBudget {
    /// Until the batch has to end.
    in_time: EventBudget,
    /// While a complete batch is of use.
    useful: EventBudget,
}

impl BatchBudget {
    fn scaled(&self, share: f64) -> Self {
        let scaled = |budget: EventBudget| EventBudget {
            waiting: budget.waiting * share,
            ..budget
        };
        Self {
            in_time: scaled(self.in_time),
            useful: scaled(self.useful),
        }
    }

    /// The budget without what other batches have reserved.
    fn without(&self, reserved_events: f64) -> Self {
        let rest = |budget: EventBudget| EventBudget {
            waiting: (budget.waiting - reserved_events).max(0.0),
            ..budget
        };
        Self {
            in_time: rest(self.in_time),
            useful: rest(self.useful),
        }
    }
}

impl ModelCapacity {
    fn budget(&self, work: &PlannedBatch, running: &RunningTexts, now: Timestamp) -> BatchBudget {
        BatchBudget {
            in_time: self.budget_until(work.ends_by, running, now),
            useful: self.budget_until(work.useful_until, running, now),
        }
    }

    /// What the engines can generate for a batch if no other batch has waiting items.
    fn budget_until(&self, end: Timestamp, running: &RunningTexts, now: Timestamp) -> EventBudget {
        let time_left = end.since(now).as_secs_f64();
        let per_text = time_left / self.event_interval.as_secs_f64();
        let free = self.events_per_second * time_left - running.events_within(per_text);
        EventBudget {
            per_text,
            waiting: free.max(0.0),
            slots: self.events_per_second * self.event_interval.as_secs_f64(),
        }
    }
}

/// Classifies the groups of batches in order. `budgets` are those of the batches without others.
fn distribute(
    open: &[PlannedBatch],
    budgets: impl Iterator<Item = BatchBudget>,
) -> Vec<TriagedGroups> {
    let mut groups = Vec::new();
    let mut reserved_events = 0.0;
    let mut rest = open.iter().zip(budgets).peekable();
    while let Some((first, _)) = rest.peek() {
        let urgency = first.urgency;
        let mut level = Vec::new();
        while let Some((work, budget)) = rest.next_if(|(work, _)| work.urgency == urgency) {
            level.push((work, budget.without(reserved_events)));
        }
        let of_level = distribute_level(&level);
        let in_time_events = of_level.iter().map(|groups| groups.in_time_waiting_events);
        reserved_events += in_time_events.sum::<f64>();
        groups.extend(of_level);
    }
    groups
}

/// Classifies the groups of batches of one urgency. Each tenant can use an equal share of the
/// capacity. What a tenant leaves goes to the batches in order.
fn distribute_level(level: &[(&PlannedBatch, BatchBudget)]) -> Vec<TriagedGroups> {
    let with_work = level
        .iter()
        .filter(|(work, _)| !work.work.groups.is_empty());
    let tenants: BTreeSet<&WorkTenant> = with_work.map(|(work, _)| &work.tenant).collect();
    let tenants = tenants.len().max(1) as f64;
    let mut of_tenants: BTreeMap<&WorkTenant, f64> = BTreeMap::new();
    let mut total = 0.0;
    let mut unused = Vec::new();
    let mut groups = Vec::new();
    for (work, budget) in level {
        let of_tenant = of_tenants.entry(&work.tenant).or_default();
        let fair = |budget: EventBudget| EventBudget {
            waiting: (budget.waiting / tenants - *of_tenant).min(budget.waiting - total),
            slots: budget.slots / tenants,
            ..budget
        };
        let triaged = complete_batch(work, fair(budget.useful))
            .unwrap_or_else(|| triage(&work.work.groups, fair(budget.in_time)));
        *of_tenant += triaged.in_time_waiting_events;
        total += triaged.in_time_waiting_events;
        unused.push(budget.in_time.waiting - total);
        groups.push(triaged);
    }
    if tenants > 1.0 {
        distribute_unused(level, unused, tenants, &mut groups);
    }
    groups
}

/// Returns all groups of a batch as one set in time, so that its longest texts go first. None if
/// they need more than the budget. A text that is too long to end in time is no reason to divide
/// the batch: its step ends soonest if that text starts first.
fn complete_batch(work: &PlannedBatch, budget: EventBudget) -> Option<TriagedGroups> {
    let one_set = EventBudget {
        slots: f64::MAX,
        per_text: f64::MAX,
        ..budget
    };
    let triaged = triage(&work.work.groups, one_set);
    triaged.late.is_empty().then_some(triaged)
}

/// Gives unused capacity to batches in order. What a batch takes also reduces that of all later
/// ones, so it can take at most the least of these.
fn distribute_unused(
    level: &[(&PlannedBatch, BatchBudget)],
    mut unused: Vec<f64>,
    tenants: f64,
    groups: &mut [TriagedGroups],
) {
    for index in (1..unused.len()).rev() {
        unused[index - 1] = unused[index - 1].min(unused[index]);
    }
    let mut taken = 0.0;
    for (((work, budget), unused), groups) in level.iter().zip(unused).zip(groups) {
        if groups.late.is_empty() || unused <= taken {
            continue;
        }
        let before = groups.in_time_waiting_events;
        let larger_budget = EventBudget {
            waiting: before + unused - taken,
            slots: budget.in_time.slots / tenants,
            ..budget.in_time
        };
        *groups = triage(&work.work.groups, larger_budget);
        taken += groups.in_time_waiting_events - before;
    }
}

/// The remaining events of all running texts of a model. They keep their slots until they end.
struct RunningTexts {
    /// In ascending order.
    remaining: Vec<f64>,
    /// The sum of the elements of `remaining` before each position, and of all.
    sums: Vec<f64>,
}

impl RunningTexts {
    fn new(open: &[PlannedBatch]) -> Self {
        let texts = open.iter().flat_map(|batch| &batch.work.running_texts);
        let mut remaining: Vec<f64> = texts.copied().collect();
        remaining.sort_by(f64::total_cmp);
        let mut sums = vec![0.0];
        let mut total = 0.0;
        for events in &remaining {
            total += events;
            sums.push(total);
        }
        Self { remaining, sums }
    }

    /// The events that the texts take until each could have made `per_text` events.
    fn events_within(&self, per_text: f64) -> f64 {
        let ended = self.remaining.partition_point(|events| *events <= per_text);
        let unfinished = self.remaining.len() - ended;
        self.sums[ended] + unfinished as f64 * per_text
    }
}

#[cfg(test)]
mod tests;
