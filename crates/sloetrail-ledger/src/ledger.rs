//! The ledger in memory.

use crate::{
    DispatchQueue, FinishedSample, JournalRecord, LengthHistory, NewSample, RowChange,
    SampleRecord, SampleStatus, StoredRun,
};
use serde::{Deserialize, Serialize};
use sloetrail_types::{Epoch, SampleId, SequenceNumber, StepNumber, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};

/// The bounds of a run.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many versions a sample may lie behind the trainer's version.
    pub staleness_bound: u64,
    /// Samples that may be held without acknowledgement.
    pub unfinished_limit: usize,
}

/// Why a call was refused; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The cursor lies outside what may be asked for.
    CursorInvalid,
    /// The trainer named an older version than before.
    VersionWentBack,
    /// The step is closed.
    StepClosed,
    /// The run holds too many samples.
    LedgerFull,
}

/// What a submission did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReport {
    /// Samples that are new.
    pub accepted: usize,
    /// Samples that were known already.
    pub known: usize,
}

/// What became of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// It is the sample's result.
    Recorded,
    /// It is too old already; the sample is queued again.
    TooOld,
    /// The sample does not wait for this attempt.
    Ignored,
}

/// One entry of a pull.
#[derive(Clone, Debug, PartialEq)]
pub enum HandOver {
    /// A sample.
    Sample {
        /// Its place in the order.
        sequence: SequenceNumber,
        /// The sample.
        record: SampleRecord,
    },
    /// A place whose sample became too old before it was acknowledged; the
    /// sample follows later under another place.
    Withdrawn {
        /// The place.
        sequence: SequenceNumber,
        /// The sample.
        id: SampleId,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Place {
    Delivered(SampleId),
    Withdrawn(SampleId),
}

/// The ledger of one run, as its owner holds it.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    journal: JournalRecord,
    samples: BTreeMap<SampleId, SampleRecord>,
    finished: BTreeSet<(StepNumber, SampleId)>,
    places: BTreeMap<SequenceNumber, Place>,
    open_steps: BTreeMap<StepNumber, BTreeSet<SampleId>>,
    unacknowledged: BTreeMap<StepNumber, usize>,
    queue: DispatchQueue,
    running: BTreeSet<SampleId>,
    history: LengthHistory,
    changes: Vec<RowChange>,
}

impl Ledger {
    /// Rebuilds the ledger from what the table holds, for an owner with `epoch`.
    pub fn recover(limits: Limits, epoch: Epoch, stored: StoredRun) -> Self {
        let mut ledger = Self {
            limits,
            journal: JournalRecord {
                epoch,
                ..stored.journal
            },
            samples: BTreeMap::new(),
            finished: BTreeSet::new(),
            places: BTreeMap::new(),
            open_steps: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            queue: DispatchQueue::default(),
            running: BTreeSet::new(),
            history: LengthHistory::default(),
            changes: Vec::new(),
        };
        for (sequence, id) in stored.withdrawn {
            ledger.places.insert(sequence, Place::Withdrawn(id));
        }
        for record in stored.samples {
            ledger.adopt(record);
        }
        ledger
    }

    /// Changes the bounds after a new configuration.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// The journal as the next transaction must write it.
    pub fn journal(&self) -> &JournalRecord {
        &self.journal
    }

    /// The row changes since the last call.
    pub fn take_changes(&mut self) -> Vec<RowChange> {
        std::mem::take(&mut self.changes)
    }

    /// A sample's record.
    pub fn sample(&self, id: &SampleId) -> Option<&SampleRecord> {
        self.samples.get(id)
    }

    /// Samples that wait for an engine.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Samples that are held.
    pub fn held(&self) -> usize {
        self.samples.len()
    }

    /// Takes in new samples. Known ids are left as they are.
    pub fn submit(
        &mut self,
        step: StepNumber,
        samples: Vec<NewSample>,
    ) -> Result<SubmitReport, Refusal> {
        if step <= self.journal.closed_step {
            return Err(Refusal::StepClosed);
        }
        let new: Vec<NewSample> = samples
            .iter()
            .filter(|sample| !self.samples.contains_key(&sample.id))
            .cloned()
            .collect();
        if self.samples.len() + new.len() > self.limits.unfinished_limit {
            return Err(Refusal::LedgerFull);
        }
        let offered = samples.len();
        let mut accepted = 0;
        for sample in new {
            accepted += usize::from(self.insert_new(step, sample));
        }
        Ok(SubmitReport {
            accepted,
            known: offered - accepted,
        })
    }

    /// Takes the next sample to run on an engine that uses `engine_version`, with
    /// its record; nothing if each queued sample would be too old when it is used.
    pub fn start_next(&mut self, engine_version: WeightVersion) -> Option<SampleRecord> {
        let latest = self.latest_useful_step(engine_version)?;
        let id = self.queue.pop_through(latest)?;
        self.running.insert(id.clone());
        self.samples.get(&id).cloned()
    }

    /// The latest step whose samples, started on `engine_version` now, are within
    /// the bound when the trainer comes to them. It trains one step a version, so
    /// a step's distance from the first open one adds to the engine's lag. The
    /// first open step always goes on.
    fn latest_useful_step(&self, engine_version: WeightVersion) -> Option<StepNumber> {
        let mut unfinished = self.unacknowledged.iter();
        let (first, _) = unfinished.find(|(_, count)| **count > 0)?;
        let lag = self
            .journal
            .trainer_version
            .0
            .saturating_sub(engine_version.0);
        let distance = self.limits.staleness_bound.saturating_sub(lag);
        Some(StepNumber(first.0.saturating_add(distance)))
    }

    /// Gives back a sample whose attempt brought nothing.
    pub fn abandon(&mut self, id: &SampleId) {
        if self.running.remove(id) {
            self.enqueue(id);
        }
    }

    /// Takes in the result of an attempt at a sample's `generation`.
    pub fn finish(
        &mut self,
        id: &SampleId,
        generation: u32,
        result: FinishedSample,
    ) -> FinishOutcome {
        self.running.remove(id);
        let Some(record) = self.samples.get_mut(id) else {
            return FinishOutcome::Ignored;
        };
        if record.generation != generation || record.status != SampleStatus::Queued {
            return FinishOutcome::Ignored;
        }
        self.history
            .record(record.sample.group.as_deref(), result.token_count);
        if result.staleness(self.journal.trainer_version) > self.limits.staleness_bound {
            self.requeue(id);
            return FinishOutcome::TooOld;
        }
        self.queue.remove(id);
        record.status = SampleStatus::Finished { result };
        self.finished.insert((record.step, id.clone()));
        self.changes.push(RowChange::PutSample(record.clone()));
        FinishOutcome::Recorded
    }

    /// Hands samples over after `cursor`, which the call acknowledges.
    ///
    /// The same cursor gives the same entries again, and new ones behind them up
    /// to `limit`, of steps up to `through_step` if it is given: a sample of a later
    /// step would only grow old with the trainer. Entries that became too old for
    /// `trainer_version` since they were given a place are withdrawn.
    pub fn pull(
        &mut self,
        cursor: SequenceNumber,
        limit: usize,
        trainer_version: WeightVersion,
        through_step: Option<StepNumber>,
    ) -> Result<Vec<HandOver>, Refusal> {
        if cursor > self.journal.last_sequence || cursor < self.journal.acknowledged {
            return Err(Refusal::CursorInvalid);
        }
        if trainer_version < self.journal.trainer_version {
            return Err(Refusal::VersionWentBack);
        }
        self.journal.trainer_version = trainer_version;
        self.acknowledge(cursor);
        self.withdraw_stale();
        self.assign_places(limit, through_step);
        Ok(self.entries(limit))
    }

    fn adopt(&mut self, record: SampleRecord) {
        let id = record.sample.id.clone();
        let step = record.step;
        self.samples.insert(id.clone(), record.clone());
        self.open_steps.entry(step).or_default().insert(id.clone());
        let acknowledged = self.journal.acknowledged;
        match record.status {
            SampleStatus::Queued => self.enqueue(&id),
            SampleStatus::Finished { .. } => {
                self.finished.insert((step, id));
            }
            SampleStatus::Delivered { sequence, .. } if sequence > acknowledged => {
                self.places.insert(sequence, Place::Delivered(id));
            }
            SampleStatus::Delivered { .. } => return,
        }
        *self.unacknowledged.entry(step).or_default() += 1;
    }

    fn insert_new(&mut self, step: StepNumber, sample: NewSample) -> bool {
        if self.samples.contains_key(&sample.id) {
            return false;
        }
        let record = SampleRecord {
            sample,
            step,
            generation: 0,
            status: SampleStatus::Queued,
        };
        self.changes.push(RowChange::PutSample(record.clone()));
        self.adopt(record);
        true
    }

    fn enqueue(&mut self, id: &SampleId) {
        if let Some(record) = self.samples.get(id) {
            let predicted = self.history.predict(record.sample.group.as_deref());
            self.queue.insert(record.step, predicted, id.clone());
        }
    }

    /// Queues a sample again under the same id.
    fn requeue(&mut self, id: &SampleId) {
        if let Some(record) = self.samples.get_mut(id) {
            record.generation += 1;
            record.status = SampleStatus::Queued;
            self.changes.push(RowChange::PutSample(record.clone()));
        }
        self.enqueue(id);
    }

    fn acknowledge(&mut self, cursor: SequenceNumber) {
        if cursor == self.journal.acknowledged {
            return;
        }
        self.journal.acknowledged = cursor;
        let later = self.places.split_off(&cursor.next());
        let settled = std::mem::replace(&mut self.places, later);
        for (sequence, place) in settled {
            match place {
                Place::Withdrawn(_) => self.changes.push(RowChange::DeleteWithdrawn(sequence)),
                Place::Delivered(id) => self.count_acknowledged(&id),
            }
        }
        self.close_steps();
    }

    fn count_acknowledged(&mut self, id: &SampleId) {
        let Some(record) = self.samples.get(id) else {
            return;
        };
        if let Some(count) = self.unacknowledged.get_mut(&record.step) {
            *count -= 1;
        }
    }

    /// Closes complete steps below the newest one, oldest first.
    fn close_steps(&mut self) {
        while self.open_steps.len() > 1 {
            let Some((&step, _)) = self.open_steps.first_key_value() else {
                return;
            };
            if self.unacknowledged.get(&step).copied().unwrap_or(0) > 0 {
                return;
            }
            self.unacknowledged.remove(&step);
            self.journal.closed_step = step;
            for id in self.open_steps.remove(&step).unwrap_or_default() {
                let record = self.samples.remove(&id);
                let result = record.as_ref().and_then(|record| record.status.result());
                let object = result.map(|result| result.object.clone());
                let deletion = RowChange::DeleteSample { step, id, object };
                self.changes.push(deletion);
            }
        }
    }

    fn too_old(&self, result: &FinishedSample) -> bool {
        result.staleness(self.journal.trainer_version) > self.limits.staleness_bound
    }

    fn withdraw_stale(&mut self) {
        let places: Vec<(SequenceNumber, SampleId)> = self
            .places
            .iter()
            .filter_map(|(sequence, place)| match place {
                Place::Delivered(id) => Some((*sequence, id.clone())),
                Place::Withdrawn(_) => None,
            })
            .collect();
        for (sequence, id) in places {
            let stale = match &self.samples[&id].status {
                SampleStatus::Delivered { result, .. } => self.too_old(result),
                _ => false,
            };
            if stale {
                self.places.insert(sequence, Place::Withdrawn(id.clone()));
                let note = RowChange::PutWithdrawn(sequence, id.clone());
                self.changes.push(note);
                self.requeue(&id);
            }
        }
    }

    /// Gives places to finished samples until `limit` entries are not acknowledged.
    fn assign_places(&mut self, limit: usize, through_step: Option<StepNumber>) {
        while self.places.len() < limit {
            let Some((step, id)) = self.finished.first().cloned() else {
                return;
            };
            if through_step.is_some_and(|through| step > through) {
                return;
            }
            self.finished.pop_first();
            let SampleStatus::Finished { result } = &self.samples[&id].status else {
                continue;
            };
            if self.too_old(result) {
                self.requeue(&id);
                continue;
            }
            self.assign_place(&id, result.clone());
        }
    }

    fn assign_place(&mut self, id: &SampleId, result: FinishedSample) {
        let sequence = self.journal.last_sequence.next();
        self.journal.last_sequence = sequence;
        if let Some(record) = self.samples.get_mut(id) {
            record.status = SampleStatus::Delivered { sequence, result };
            self.changes.push(RowChange::PutSample(record.clone()));
        }
        self.places.insert(sequence, Place::Delivered(id.clone()));
    }

    fn entries(&self, limit: usize) -> Vec<HandOver> {
        let entry = |(sequence, place): (&SequenceNumber, &Place)| match place {
            Place::Delivered(id) => HandOver::Sample {
                sequence: *sequence,
                record: self.samples[id].clone(),
            },
            Place::Withdrawn(id) => HandOver::Withdrawn {
                sequence: *sequence,
                id: id.clone(),
            },
        };
        self.places.iter().take(limit).map(entry).collect()
    }
}
