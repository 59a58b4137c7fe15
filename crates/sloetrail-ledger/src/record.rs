//! The durable rows of a run.

use serde::{Deserialize, Serialize};
use sloetrail_types::{
    Epoch, SampleId, Segment, SequenceNumber, StepNumber, WeightVersion, oldest_version,
};

/// The row that every transaction of a run writes under a condition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// The epoch of the owner that wrote it.
    pub epoch: Epoch,
    /// The highest sequence number that was given.
    pub last_sequence: SequenceNumber,
    /// The highest sequence number that the trainer has acknowledged.
    pub acknowledged: SequenceNumber,
    /// Steps up to this one are closed: all of their samples were acknowledged.
    pub closed_step: StepNumber,
    /// The highest version that the trainer has named.
    pub trainer_version: WeightVersion,
}

/// A sample as the trainer submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewSample {
    /// Its id, unique within the run.
    pub id: SampleId,
    /// Its prompt.
    pub prompt: String,
    /// Samples of a group share a prompt; their lengths resemble one another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
}

/// What an attempt produced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedSample {
    /// The versions that produced its tokens, from the engines' own stamps.
    pub segments: Vec<Segment>,
    /// Its length.
    pub token_count: u32,
    /// The key of its body in the object store.
    pub object: String,
    /// Its score.
    pub score: f64,
}

impl FinishedSample {
    /// How many versions its oldest token lies behind `trainer_version`.
    pub fn staleness(&self, trainer_version: WeightVersion) -> u64 {
        let oldest = oldest_version(&self.segments).unwrap_or_default();
        trainer_version.0.saturating_sub(oldest.0)
    }
}

/// How far a sample has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum SampleStatus {
    /// It is to be generated.
    Queued,
    /// It is generated and scored.
    Finished {
        /// The result.
        result: FinishedSample,
    },
    /// It has a place in the order of hand-over.
    Delivered {
        /// Its place.
        sequence: SequenceNumber,
        /// The result.
        result: FinishedSample,
    },
}

impl SampleStatus {
    /// The result, if there is one.
    pub fn result(&self) -> Option<&FinishedSample> {
        match self {
            SampleStatus::Queued => None,
            SampleStatus::Finished { result } | SampleStatus::Delivered { result, .. } => {
                Some(result)
            }
        }
    }
}

/// A sample's row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SampleRecord {
    /// The sample as it was submitted.
    pub sample: NewSample,
    /// Its training step.
    pub step: StepNumber,
    /// Grows each time it goes back to queued.
    pub generation: u32,
    /// How far it has come.
    pub status: SampleStatus,
}

/// A change to the rows of a run, besides the journal.
#[derive(Clone, Debug, PartialEq)]
pub enum RowChange {
    /// Write a sample's row.
    PutSample(SampleRecord),
    /// Delete the row of a sample of a closed step. Its body is of no more use.
    DeleteSample {
        /// The step.
        step: StepNumber,
        /// The sample.
        id: SampleId,
        /// The key of its body in the object store.
        object: Option<String>,
    },
    /// Note that a sequence number was withdrawn from a sample.
    PutWithdrawn(SequenceNumber, SampleId),
    /// Delete such a note after its acknowledgement.
    DeleteWithdrawn(SequenceNumber),
}

/// Everything that the table holds of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRun {
    /// The journal row.
    pub journal: JournalRecord,
    /// The sample rows.
    pub samples: Vec<SampleRecord>,
    /// The withdrawn sequence numbers.
    pub withdrawn: Vec<(SequenceNumber, SampleId)>,
}

impl StoredRun {
    /// Carries out one change, as the table does.
    pub fn apply(&mut self, change: RowChange) {
        match change {
            RowChange::PutSample(record) => {
                let id = record.sample.id.clone();
                self.samples.retain(|kept| kept.sample.id != id);
                self.samples.push(record);
            }
            RowChange::DeleteSample { id, .. } => self.samples.retain(|kept| kept.sample.id != id),
            RowChange::PutWithdrawn(sequence, id) => self.withdrawn.push((sequence, id)),
            RowChange::DeleteWithdrawn(sequence) => {
                self.withdrawn.retain(|kept| kept.0 != sequence);
            }
        }
    }
}
