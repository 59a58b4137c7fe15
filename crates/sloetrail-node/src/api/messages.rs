//! The JSON messages of trainers and operators.

use serde::{Deserialize, Serialize};
use sloetrail_ledger::NewSample;
use sloetrail_types::{
    ApplyId, EngineId, NodeId, Revision, RunName, SampleId, Segment, SequenceNumber, ServiceName,
    StepNumber, WeightVersion, ZoneName,
};

/// A trainer submits samples of one step.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// The step.
    pub step: StepNumber,
    /// The samples; ids that are known already are left as they are.
    pub samples: Vec<NewSample>,
}

/// The samples are durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitResponse {
    /// Samples that are new.
    pub accepted: usize,
    /// Samples that were known already.
    pub known: usize,
}

/// A trainer pulls samples after a cursor, which the call acknowledges.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullRequest {
    /// The last entry that the trainer has taken in.
    #[serde(default)]
    pub after: SequenceNumber,
    /// The trainer's present weight version.
    pub trainer_version: WeightVersion,
    /// Only samples of steps up to this one; nothing for all.
    #[serde(default)]
    pub through_step: Option<StepNumber>,
    /// At most this many entries.
    #[serde(default = "default_pull_limit")]
    pub limit: usize,
}

fn default_pull_limit() -> usize {
    256
}

/// Entries in the order of hand-over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullResponse {
    /// The entries.
    pub entries: Vec<PullEntry>,
    /// The cursor for the next pull.
    pub cursor: SequenceNumber,
}

/// One entry of a pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PullEntry {
    /// A sample.
    Sample(SampleEntry),
    /// A place whose sample became too old before it was acknowledged.
    Withdrawn(WithdrawnEntry),
}

impl PullEntry {
    /// The entry's place.
    pub fn sequence(&self) -> SequenceNumber {
        match self {
            PullEntry::Sample(entry) => entry.sequence,
            PullEntry::Withdrawn(entry) => entry.sequence,
        }
    }
}

/// A sample that is handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SampleEntry {
    /// Its place.
    pub sequence: SequenceNumber,
    /// Its id.
    pub sample: SampleId,
    /// Its step.
    pub step: StepNumber,
    /// The weight versions that produced it.
    pub segments: Vec<Segment>,
    /// Its score.
    pub score: f64,
    /// Its tokens.
    pub tokens: Vec<u32>,
}

/// A place that was withdrawn; its sample comes again under another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WithdrawnEntry {
    /// The place.
    pub sequence: SequenceNumber,
    /// The sample's id.
    pub sample: SampleId,
}

/// The body of a sample in the object store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SampleBody {
    /// Its tokens.
    pub tokens: Vec<u32>,
}

/// A trainer has put a new weight version into the weight store.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// The version.
    pub version: WeightVersion,
}

/// The newest published version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PublishResponse {
    /// The version.
    pub published: WeightVersion,
}

/// An operator applies a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The apply's id, for reading it back.
    pub apply: ApplyId,
    /// The file's name, for error messages.
    pub file: String,
    /// The file's text.
    pub text: String,
    /// The revision that the file was made from; nothing applies over any.
    pub base_revision: Option<Revision>,
}

/// An apply was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyAccepted {
    /// The apply.
    pub apply: ApplyId,
    /// Its revision.
    pub revision: Revision,
    /// Zones that are known to hold it.
    pub zones: Vec<ZoneName>,
}

/// What is in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationReport {
    /// The node that answers.
    pub node: NodeId,
    /// Its revision.
    pub revision: Revision,
    /// True if it knows that its revision is in force.
    pub confirmed: bool,
    /// The text of its revision.
    pub text: String,
    /// Each configured zone.
    pub zones: Vec<ZoneReport>,
}

/// What is known of a zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub zone: ZoneName,
    /// The revision in force there; nothing if it could not be asked.
    pub revision: Option<Revision>,
    /// How long ago it was heard, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}

/// A node's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its phase: starting, ready or leaving.
    pub phase: String,
    /// Its revision.
    pub revision: Revision,
    /// The nodes of its zone that are alive.
    pub members: Vec<NodeId>,
    /// Its services.
    pub services: Vec<ServiceReport>,
    /// The runs that it owns.
    pub owned_runs: Vec<RunName>,
    /// The services that it owns.
    pub owned_services: Vec<ServiceName>,
}

/// A service as one node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Engines on the machine list.
    pub listed: usize,
    /// Engines that the node may choose now.
    pub available: usize,
    /// Requests in flight from the node.
    pub in_flight: usize,
    /// Requests waiting on the node.
    pub waiting: usize,
    /// Each engine on the list, as it describes itself; nothing if it did not answer.
    pub engines: Vec<EngineLine>,
}

/// An engine as it described itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineLine {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its state: serving, draining, leaving or unreachable.
    pub state: String,
    /// The weights in use.
    pub version: Option<WeightVersion>,
}
