//! The back ends as the platform's directory lists them.

use crate::back_end::BackEnd;
use crate::dialect::Dialect;
use crate::directory_index::KeyRanges;
use crate::ended_lives::{EndedLives, LifeEnd};
use crate::events::{self, Event};
use crate::follow::{FleetSize, LastApplied, TableView, ViewReceiver};
use crate::operator::Evacuations;
use crate::table::Row;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, RowVersion, ServiceName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// What a row said when it was read last.
#[derive(Clone, Debug)]
struct KnownRow {
    version: RowVersion,
    /// The back end that it names; nothing if it cannot be read.
    back_end: Option<Arc<BackEnd>>,
    /// The life that it named last, whether or not it can be read now.
    last_life: Option<EngineId>,
}

/// Every back end that is listed.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// The back ends by the ids of their lives.
    pub back_ends: BTreeMap<EngineId, Arc<BackEnd>>,
    /// The version up to which changes are taken in.
    pub version: RowVersion,
    /// True if no back end is left out that the table lists.
    pub(crate) covers_all: bool,
    /// Which part of the directory it is; nothing before it was read.
    ranges: Option<KeyRanges>,
    /// How many rows the table has, as far as the part that is held tells.
    pub(crate) total_rows: usize,
    /// Until when back ends are cold that said so.
    cold_until: BTreeMap<EngineId, BootInstant>,
    /// The rows by their keys. One that cannot be read is not read again until it changes. They are
    /// shared from one directory to the next: with 890 rows a change of one of them takes 0.35 to 0.56 ms,
    /// where a copy of the keys and lives for each directory took 0.72 to 0.79 (release build, beside other
    /// work).
    rows: BTreeMap<Arc<str>, Arc<KnownRow>>,
    /// Lives after which another one began under the same name. They have ended, and nothing
    /// that is said of them later makes them come back.
    ended: Arc<EndedLives>,
}

impl Directory {
    /// The back ends of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<BackEnd>> {
        self.back_ends
            .values()
            .filter(move |back_end| back_end.service == *service)
    }

    /// How many back ends say that they are cold.
    pub(crate) fn cold_count(&self, now: BootInstant) -> usize {
        let untils = self.cold_until.values();
        untils.filter(|until| **until > now).count()
    }

    /// Until when a back end is cold; nothing if it is warm. Either its row said so, and the
    /// time counts from when that was read, which is no sooner than when it was written; or
    /// an evacuation of its zone was withdrawn: the news of that may come before the news
    /// that it is cold, so it counts as cold for as long as after a start (`lasts`).
    pub(crate) fn cold_until(
        &self,
        back_end: &BackEnd,
        evacuations: &Evacuations,
        lasts: Duration,
    ) -> Option<BootInstant> {
        let told = self.cold_until.get(&back_end.id).copied();
        let withdrawn_at = evacuations.withdrawn_at(&back_end.zone);
        let returning = withdrawn_at.map(|at| at + lasts);
        told.max(returning)
            .filter(|until| *until > BootInstant::now())
    }

    /// Lives after which another one began under the same name.
    pub(crate) fn ended(&self) -> &Arc<EndedLives> {
        &self.ended
    }

    /// The directory after a change of the table. Only rows that changed are read.
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
                    next.keep(Arc::clone(key), Arc::clone(known), self, now);
                }
                known => {
                    let known = known.map(|(_, known)| known);
                    next.take(key, row, known, self, (dialect, now));
                }
            }
        }
        next
    }

    /// Takes over what a row said that has not changed.
    fn keep(&mut self, key: Arc<str>, known: Arc<KnownRow>, before: &Self, now: BootInstant) {
        if let Some(back_end) = &known.back_end {
            let life = &back_end.id;
            let cold_until = before.cold_until.get(life).copied();
            if let Some(until) = cold_until.filter(|until| *until > now) {
                self.cold_until.insert(life.clone(), until);
            }
            self.back_ends.insert(life.clone(), Arc::clone(back_end));
        }
        self.rows.insert(key, known);
    }

    /// Takes in a row that is new or has changed.
    fn take(
        &mut self,
        key: &str,
        row: &Row,
        known: Option<&Arc<KnownRow>>,
        before: &Self,
        (dialect, now): (&dyn Dialect, BootInstant),
    ) {
        let last_life = known.and_then(|known| known.last_life.clone());
        let back_end = read(dialect, key, &row.value);
        if let (Some(known), Some(back_end)) = (known, &back_end)
            && self.ended.end_of(&back_end.id).is_some()
        {
            // News of an older life, written late: the newer one is there all the same.
            let stays = KnownRow {
                version: row.version,
                ..KnownRow::clone(known)
            };
            return self.keep(Arc::from(key), Arc::new(stays), before, now);
        }
        let life = back_end.as_ref().map(|back_end| back_end.id.clone());
        if let (Some(last), Some(life)) = (&last_life, &life)
            && last != life
        {
            let was_leaving = before
                .back_ends
                .get(last)
                .is_some_and(|back_end| back_end.draining);
            let end = match was_leaving {
                true => LifeEnd::Planned,
                false => LifeEnd::Crashed,
            };
            events::emit(&Event::BackEndRestarted {
                back_end: life.as_str(),
                before: last.as_str(),
                planned: was_leaving,
            });
            Arc::make_mut(&mut self.ended).add(last.clone(), end);
        }
        let back_end = back_end.map(Arc::new);
        if let Some(back_end) = &back_end {
            if !back_end.cold_left.is_zero() {
                let cold_until = now + back_end.cold_left;
                self.cold_until.insert(back_end.id.clone(), cold_until);
            }
            let life = back_end.id.clone();
            self.back_ends.insert(life, Arc::clone(back_end));
        }
        let known = KnownRow {
            version: row.version,
            last_life: life.or(last_life),
            back_end,
        };
        self.rows.insert(Arc::from(key), Arc::new(known));
    }
}

fn read(dialect: &dyn Dialect, key: &str, value: &[u8]) -> Option<BackEnd> {
    match dialect.back_end(key, value) {
        Ok(back_end) => Some(back_end),
        Err(error) => {
            events::emit(&Event::RowUnreadable {
                table: &dialect.sources().directory_table,
                key,
                detail: &error.message,
            });
            None
        }
    }
}

/// Turns the directory's table into typed back ends until every receiver is gone, and
/// tells how many there are. The second receiver is told when each view was asked for,
/// once its back ends can be seen.
pub fn watch_directory(
    mut view: ViewReceiver,
    dialect: Arc<dyn Dialect>,
    fleet: FleetSize,
) -> (watch::Receiver<Arc<Directory>>, LastApplied) {
    let (sender, receiver) = watch::channel(Arc::new(Directory::default()));
    let (taken_in, taken_in_at) = watch::channel(view.borrow().requested_at);
    tokio::spawn(async move {
        while view.changed().await.is_ok() && !sender.is_closed() {
            let table = view.borrow_and_update().clone();
            let current = sender.borrow().clone();
            // Who asked for more waits for the answer also if it brings no row.
            let has_other_part = current.ranges.as_ref() != Some(&table.ranges);
            if table.version != current.version || has_other_part {
                let next = current.updated(&table, &*dialect);
                log_differences(&current, &next);
                fleet.set_back_ends(next.total_rows);
                sender.send_replace(Arc::new(next));
            }
            taken_in.send_replace(table.requested_at);
        }
    });
    (receiver, taken_in_at)
}

fn log_differences(before: &Directory, after: &Directory) {
    let state = |back_end: &BackEnd| match (back_end.draining, back_end.cold_left.is_zero()) {
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
