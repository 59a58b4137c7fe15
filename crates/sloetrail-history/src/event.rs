//! What happened at the edges.

use serde::{Deserialize, Serialize};
use sloetrail_result::Kind;
use sloetrail_types::{
    ApplyId, EngineId, NodeId, RequestId, Revision, RunName, SampleId, SequenceNumber,
    WeightVersion, ZoneName,
};
use snafu::{ResultExt, Snafu};

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since the Unix epoch, on the writer's clock. Checks that
    /// compare writers assume one machine, or clocks within the stated bounds.
    pub at_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub body: EventBody,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunClass {
    /// It may.
    Repeatable,
    /// It may not.
    AtMostOnce,
}

/// How a caller's sending ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SendOutcome {
    /// An answer of the service.
    Answered {
        /// The marker that the answer repeats.
        marker: String,
        /// True if the answer has the length and end that it must have.
        whole: bool,
        /// The revision under which it was served.
        revision: Revision,
    },
    /// A problem document.
    Refused {
        /// Its code.
        code: u16,
        /// Its kind.
        kind: Kind,
    },
    /// No connection could be made.
    NotConnected,
    /// The connection was cut without an answer.
    Cut,
}

/// How an apply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// Accepted as this revision.
    Accepted(Revision),
    /// Nothing was changed.
    Refused,
    /// To be read back.
    Unknown,
}

/// A stretch of a handed-over sample with its tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedSegment {
    /// The engine that the record names.
    pub engine: EngineId,
    /// The version that the record names.
    pub version: WeightVersion,
    /// Index of the first token.
    pub first_token: u32,
    /// The tokens.
    pub tokens: Vec<u32>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum EventBody {
    /// A caller sends a request.
    RequestSent {
        /// The sending, unique for all time.
        send: String,
        /// What the answer must repeat.
        marker: String,
        /// The node.
        node: NodeId,
        /// Whether it may run more than once.
        class: RunClass,
        /// Its idempotency key.
        key: Option<String>,
    },
    /// A sending ended.
    RequestEnded {
        /// The sending.
        send: String,
        /// How.
        outcome: SendOutcome,
    },
    /// A back end starts to run a caller's request.
    RunStarted {
        /// The back end.
        engine: EngineId,
        /// The sending.
        send: String,
        /// Its idempotency key.
        key: Option<String>,
    },
    /// A back end has run a caller's request to its end.
    RunEnded {
        /// The back end.
        engine: EngineId,
        /// The sending.
        send: String,
    },
    /// A back end gave a caller's request up, because the one that sent it to the
    /// back end has gone.
    RunCancelled {
        /// The back end.
        engine: EngineId,
        /// The sending.
        send: String,
    },
    /// A back end takes in a sample's generation.
    GenerationStarted {
        /// The back end.
        engine: EngineId,
        /// The attempt.
        request: RequestId,
    },
    /// A back end produced some tokens.
    TokensProduced {
        /// The back end.
        engine: EngineId,
        /// The prompt.
        prompt: String,
        /// The weights that it used.
        version: WeightVersion,
        /// Index of the first token.
        first_token: u32,
        /// The tokens.
        tokens: Vec<u32>,
    },
    /// A back end came to the end of a sample's text. Recorded before anybody is told.
    TextEnded {
        /// The back end.
        engine: EngineId,
        /// The prompt.
        prompt: String,
        /// How many tokens the whole text has, those of earlier engines included.
        tokens: u32,
    },
    /// A back end was marked as leaving, by an order or on the machine list.
    EngineLeaving {
        /// The back end.
        engine: EngineId,
    },
    /// A leaving back end takes work again.
    EngineResumed {
        /// The back end.
        engine: EngineId,
    },
    /// The harness killed a back end.
    EngineKilled {
        /// The back end.
        engine: EngineId,
    },
    /// The trainer's submission was acknowledged.
    SampleSubmitted {
        /// The run.
        run: RunName,
        /// The sample.
        sample: SampleId,
    },
    /// The trainer took a sample in.
    SampleTaken {
        /// The run.
        run: RunName,
        /// The sample.
        sample: SampleId,
        /// Its place.
        sequence: SequenceNumber,
        /// The prompt that the trainer submitted.
        prompt: String,
        /// The version that the trainer named.
        trainer_version: WeightVersion,
        /// The run's staleness bound.
        staleness_bound: u64,
        /// The record's segments.
        segments: Vec<HandedSegment>,
    },
    /// The trainer ended; every acknowledged sample must have been taken.
    TrainerEnded {
        /// The run.
        run: RunName,
    },
    /// An operator sends an apply.
    ApplySent {
        /// The apply.
        apply: ApplyId,
    },
    /// An apply, or its read-back, was answered.
    ApplyAnswered {
        /// The apply.
        apply: ApplyId,
        /// How.
        outcome: ApplyOutcome,
    },
    /// An operator read what a node holds in force.
    RevisionRead {
        /// The node.
        node: NodeId,
        /// Its zone.
        zone: ZoneName,
        /// The revision.
        revision: Revision,
    },
    /// The harness asked a node to stop.
    NodeStopping {
        /// The node.
        node: NodeId,
    },
    /// A node that was asked to stop has ended.
    NodeStopped {
        /// The node.
        node: NodeId,
        /// Its exit code.
        code: i32,
    },
    /// The harness killed a node.
    NodeKilled {
        /// The node.
        node: NodeId,
    },
    /// A platform stand-in was called. Lost answers took effect.
    PlatformCalled {
        /// The stand-in.
        stand_in: String,
        /// Method and path.
        call: String,
        /// The status that it answered with, or would have.
        status: u16,
        /// True if the call took effect and its answer was lost.
        answer_lost: bool,
    },
    /// The harness brought a fault about; for the reader's orientation.
    FaultInjected {
        /// What.
        fault: String,
    },
}

/// Why a history cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("line {line}: {source}"))]
pub struct HistoryError {
    /// The line, counted from one.
    line: usize,
    /// The parser's error.
    source: serde_json::Error,
}

/// Reads a history of JSON lines. A last line without its end, as a killed
/// writer leaves it, is left out.
pub fn read_history(text: &str) -> Result<Vec<Event>, HistoryError> {
    let whole_lines = text.rfind('\n').map_or("", |end| &text[..end]);
    whole_lines
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| serde_json::from_str(line).context(HistorySnafu { line: index + 1 }))
        .collect()
}

/// Puts the events of several writers into the order of time.
pub fn merge_histories(histories: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = histories.into_iter().flatten().collect();
    events.sort_by_key(|event| event.at_us);
    events
}
