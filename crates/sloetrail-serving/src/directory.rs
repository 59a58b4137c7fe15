//! Decodes the platform's directory table into back ends.

use crate::back_end::BackEnd;
use crate::dialect::Dialect;
use crate::directory_index::KeyRanges;
use crate::ended_incarnations::{EndedIncarnations, IncarnationEnd};
use crate::events::{self, Event};
use crate::follow::{FleetSize, LastApplied, TableView, ViewReceiver};
use crate::operator::Evacuations;
use crate::table::Row;
use crate::tasks::{self, Panicked};
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, RowVersion, ServiceName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A directory row as last read.
#[derive(Clone, Debug)]
struct KnownRow {
    version: RowVersion,
    /// None if the row can't be decoded.
    back_end: Option<Arc<BackEnd>>,
    /// The last incarnation that the row named, even if the row can't be decoded now.
    last_incarnation: Option<EngineId>,
}

/// The listed back ends.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Back ends by incarnation id.
    pub back_ends: BTreeMap<EngineId, Arc<BackEnd>>,
    /// The version up to which changes are applied.
    pub version: RowVersion,
    /// True if it includes every row of the table.
    pub(crate) covers_all: bool,
    /// The key ranges that it covers; None before the first read.
    ranges: Option<KeyRanges>,
    /// The number of rows in the table, estimated from the subset.
    pub(crate) total_rows: usize,
    /// End of the cold time of back ends whose rows report one.
    cold_until: BTreeMap<EngineId, BootInstant>,
    /// Rows by key. Unchanged rows are shared with the previous directory and not decoded again,
    /// even if decoding failed.
    rows: BTreeMap<Arc<str>, Arc<KnownRow>>,
    /// Incarnations that were replaced under the same name. Later rows never restore them.
    ended: Arc<EndedIncarnations>,
}

impl Directory {
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<BackEnd>> {
        self.back_ends
            .values()
            .filter(move |back_end| back_end.service == *service)
    }

    /// The number of back ends that report being cold.
    pub(crate) fn cold_count(&self, now: BootInstant) -> usize {
        let untils = self.cold_until.values();
        untils.filter(|until| **until > now).count()
    }

    /// Returns the end of a back end's cold time; None if it is warm.
    ///
    /// The cold time in a row counts from when the row was read. After an evacuation of the zone
    /// is withdrawn, the back end counts as cold for `cold_duration` as after a start, because
    /// its own report of being cold may arrive later.
    pub(crate) fn cold_until(
        &self,
        back_end: &BackEnd,
        evacuations: &Evacuations,
        cold_duration: Duration,
    ) -> Option<BootInstant> {
        let reported = self.cold_until.get(&back_end.id).copied();
        let withdrawn_at = evacuations.withdrawn_at(&back_end.zone);
        let after_evacuation = withdrawn_at.map(|at| at + cold_duration);
        reported
            .max(after_evacuation)
            .filter(|until| *until > BootInstant::now())
    }

    /// Incarnations that were replaced under the same name.
    pub(crate) fn ended(&self) -> &Arc<EndedIncarnations> {
        &self.ended
    }

    /// Returns the directory for a new view of the table. Only changed rows are decoded.
    fn updated(&self, view: &TableView, dialect: &dyn Dialect) -> Self {
        let mut next = Self {
            version: view.version,
            covers_all: view.ranges.covers_all(),
            ranges: Some(view.ranges.clone()),
            total_rows: view.ranges.total_rows(view.rows.len()),
            ended: Arc::clone(&self.ended),
            ..Self::default()
        };
        let now = BootInstant::now();
        for (key, row) in &view.rows {
            let known = self.rows.get_key_value(key.as_str());
            match known {
                Some((key, known)) if known.version == row.version => {
                    next.retain_row(Arc::clone(key), Arc::clone(known), self, now);
                }
                known => {
                    let known = known.map(|(_, known)| known);
                    next.apply_row(key, row, known, self, (dialect, now));
                }
            }
        }
        next
    }

    /// Copies an unchanged row and its back end from the previous directory.
    fn retain_row(&mut self, key: Arc<str>, known: Arc<KnownRow>, before: &Self, now: BootInstant) {
        if let Some(back_end) = &known.back_end {
            let id = &back_end.id;
            let cold_until = before.cold_until.get(id).copied();
            if let Some(until) = cold_until.filter(|until| *until > now) {
                self.cold_until.insert(id.clone(), until);
            }
            self.back_ends.insert(id.clone(), Arc::clone(back_end));
        }
        self.rows.insert(key, known);
    }

    /// Applies a new or changed row.
    fn apply_row(
        &mut self,
        key: &str,
        row: &Row,
        known: Option<&Arc<KnownRow>>,
        before: &Self,
        (dialect, now): (&dyn Dialect, BootInstant),
    ) {
        let last_incarnation = known.and_then(|known| known.last_incarnation.clone());
        let back_end = decode(dialect, key, &row.value);
        if let (Some(known), Some(back_end)) = (known, &back_end)
            && self.ended.end_of(&back_end.id).is_some()
        {
            // A late write of a replaced incarnation: the newer one stays listed.
            let current = KnownRow {
                version: row.version,
                ..KnownRow::clone(known)
            };
            return self.retain_row(Arc::from(key), Arc::new(current), before, now);
        }
        let incarnation = back_end.as_ref().map(|back_end| back_end.id.clone());
        if let (Some(last), Some(incarnation)) = (&last_incarnation, &incarnation)
            && last != incarnation
        {
            let was_leaving = before
                .back_ends
                .get(last)
                .is_some_and(|back_end| back_end.draining);
            let end = match was_leaving {
                true => IncarnationEnd::Planned,
                false => IncarnationEnd::Crashed,
            };
            events::emit(&Event::BackEndRestarted {
                back_end: incarnation.as_str(),
                before: last.as_str(),
                planned: was_leaving,
            });
            Arc::make_mut(&mut self.ended).add(last.clone(), end);
        }
        let back_end = back_end.map(Arc::new);
        if let Some(back_end) = &back_end {
            if !back_end.cold_remaining.is_zero() {
                let cold_until = now + back_end.cold_remaining;
                self.cold_until.insert(back_end.id.clone(), cold_until);
            }
            let id = back_end.id.clone();
            self.back_ends.insert(id, Arc::clone(back_end));
        }
        let known = KnownRow {
            version: row.version,
            last_incarnation: incarnation.or(last_incarnation),
            back_end,
        };
        self.rows.insert(Arc::from(key), Arc::new(known));
    }
}

fn decode(dialect: &dyn Dialect, key: &str, value: &[u8]) -> Option<BackEnd> {
    let decoded = tasks::catch_sync("directory row", || dialect.back_end(key, value));
    let detail = match decoded {
        Ok(Ok(back_end)) => return Some(back_end),
        Ok(Err(error)) => error.message,
        Err(Panicked) => "the decoder panicked".to_owned(),
    };
    events::emit(&Event::RowUnreadable {
        table: &dialect.sources().directory_table,
        key,
        detail: &detail,
    });
    None
}

/// Decodes each view of the directory table until every receiver is dropped, and updates the
/// fleet size. The second receiver gets the request time of each view after its back ends are
/// published.
pub fn watch_directory(
    view: ViewReceiver,
    dialect: Arc<dyn Dialect>,
    fleet: FleetSize,
) -> (watch::Receiver<Arc<Directory>>, LastApplied) {
    let (sender, receiver) = watch::channel(Arc::new(Directory::default()));
    let (applied, last_applied) = watch::channel(view.borrow().requested_at);
    let publisher = Arc::new(DirectoryPublisher {
        dialect,
        fleet,
        sender,
        applied,
    });
    tasks::spawn_part("directory", move || {
        Arc::clone(&publisher).run(view.clone())
    });
    (receiver, last_applied)
}

/// Decodes views of the directory table and publishes them.
struct DirectoryPublisher {
    dialect: Arc<dyn Dialect>,
    fleet: FleetSize,
    sender: watch::Sender<Arc<Directory>>,
    /// The request time of the view that was published last.
    applied: watch::Sender<Option<BootInstant>>,
}

impl DirectoryPublisher {
    async fn run(self: Arc<Self>, mut view: ViewReceiver) {
        while view.changed().await.is_ok() && !self.sender.is_closed() {
            let table = view.borrow_and_update().clone();
            self.publish(&table);
            self.applied.send_replace(table.requested_at);
        }
    }

    /// Publishes a changed view. Other ranges count as a change even without new rows: whoever
    /// demanded more of the directory waits for it.
    fn publish(&self, table: &TableView) {
        let current = self.sender.borrow().clone();
        let has_other_ranges = current.ranges.as_ref() != Some(&table.ranges);
        if table.version == current.version && !has_other_ranges {
            return;
        }
        let next = current.updated(table, &*self.dialect);
        log_differences(&current, &next);
        self.fleet.set_back_ends(next.total_rows);
        self.sender.send_replace(Arc::new(next));
    }
}

fn log_differences(before: &Directory, after: &Directory) {
    let state = |back_end: &BackEnd| match (back_end.draining, back_end.cold_remaining.is_zero()) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "cold",
    };
    let emit = |back_end: &BackEnd, state: &str| {
        events::emit(&Event::BackEndChanged {
            back_end: back_end.id.as_str(),
            service: back_end.service.as_str(),
            state,
            directory_version: after.version.0,
        });
    };
    for (id, back_end) in &after.back_ends {
        let known = before.back_ends.get(id);
        if known.is_none_or(|known| state(known) != state(back_end)) {
            emit(back_end, state(back_end));
        }
    }
    for (id, back_end) in &before.back_ends {
        if !after.back_ends.contains_key(id) {
            emit(back_end, "gone");
        }
    }
}

#[cfg(test)]
mod tests;
