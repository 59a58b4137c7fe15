//! Replay of recorded traces against their stated outcomes.
//!
//! A trace is JSON lines: the first names the logic, each further one is a call
//! with the outcome that it must have.

use serde::{Deserialize, Serialize};
use sloetrail_ledger::{
    FinishOutcome, FinishedSample, HandOver, Ledger, Limits, NewSample, StoredRun,
};
use sloetrail_types::{
    EngineId, Epoch, SampleId, Segment, SequenceNumber, StepNumber, WeightVersion,
};
use snafu::{ResultExt, Snafu};

/// The first line of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "logic")]
pub enum Trace {
    /// The sample ledger.
    Ledger {
        /// Versions that a sample may lie behind.
        staleness_bound: u64,
        /// Samples that may be held.
        unfinished_limit: usize,
    },
}

/// A call on the ledger with its stated outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
enum LedgerCall {
    /// Samples are submitted.
    Submit {
        step: StepNumber,
        samples: Vec<SampleId>,
        outcome: String,
    },
    /// An attempt ended.
    Finish {
        sample: SampleId,
        generation: u32,
        version: WeightVersion,
        outcome: String,
    },
    /// The trainer pulls.
    Pull {
        after: SequenceNumber,
        trainer_version: WeightVersion,
        limit: usize,
        outcome: String,
    },
    /// The changes so far are committed.
    Commit,
    /// The owner is lost with what it had not committed; a new one recovers.
    Recover { epoch: Epoch },
}

/// Why a trace cannot be replayed.
#[derive(Debug, Snafu)]
pub enum ReplayError {
    /// It is empty.
    #[snafu(display("the trace is empty"))]
    Empty,
    /// A line cannot be read.
    #[snafu(display("line {line}: {source}"))]
    Unreadable {
        /// The line, counted from one.
        line: usize,
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// What a replay found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayReport {
    /// Stated outcomes compared.
    pub compared: usize,
    /// Where the logic said something else.
    pub differences: Vec<String>,
}

impl ReplayReport {
    /// True only if something was compared and nothing differs.
    pub fn agrees(&self) -> bool {
        self.compared > 0 && self.differences.is_empty()
    }
}

/// Replays a trace.
pub fn replay(text: &str) -> Result<ReplayReport, ReplayError> {
    let mut lines = text
        .lines()
        .enumerate()
        .map(|(index, line)| (index + 1, line))
        .filter(|(_, line)| !line.trim().is_empty());
    let Some((number, header)) = lines.next() else {
        return EmptySnafu.fail();
    };
    let trace: Trace = serde_json::from_str(header).context(UnreadableSnafu { line: number })?;
    match trace {
        Trace::Ledger {
            staleness_bound,
            unfinished_limit,
        } => {
            let limits = Limits {
                staleness_bound,
                unfinished_limit,
            };
            let mut replayed = LedgerReplay::new(limits);
            for (line, text) in lines {
                let call = serde_json::from_str(text).context(UnreadableSnafu { line })?;
                replayed.carry_out(line, call);
            }
            Ok(replayed.report)
        }
    }
}

struct LedgerReplay {
    limits: Limits,
    ledger: Ledger,
    stored: StoredRun,
    report: ReplayReport,
}

impl LedgerReplay {
    fn new(limits: Limits) -> Self {
        Self {
            limits,
            ledger: Ledger::recover(limits, Epoch(1), StoredRun::default()),
            stored: StoredRun::default(),
            report: ReplayReport {
                compared: 0,
                differences: Vec::new(),
            },
        }
    }

    fn carry_out(&mut self, line: usize, call: LedgerCall) {
        match call {
            LedgerCall::Submit {
                step,
                samples,
                outcome,
            } => {
                let samples = samples.into_iter().map(new_sample).collect();
                let result = self.ledger.submit(step, samples);
                let said = result.map_or_else(
                    |refusal| format!("{refusal:?}"),
                    |report| format!("accepted {} known {}", report.accepted, report.known),
                );
                self.compare(line, &outcome, &said);
            }
            LedgerCall::Finish {
                sample,
                generation,
                version,
                outcome,
            } => {
                let said: FinishOutcome = self.ledger.finish(&sample, generation, result(version));
                self.compare(line, &outcome, &format!("{said:?}"));
            }
            LedgerCall::Pull {
                after,
                trainer_version,
                limit,
                outcome,
            } => {
                let result = self.ledger.pull(after, limit, trainer_version, None);
                let said = result.map_or_else(
                    |refusal| format!("{refusal:?}"),
                    |entries| describe(&entries),
                );
                self.compare(line, &outcome, &said);
            }
            LedgerCall::Commit => self.commit(),
            LedgerCall::Recover { epoch } => {
                self.ledger = Ledger::recover(self.limits, epoch, self.stored.clone());
            }
        }
    }

    fn commit(&mut self) {
        self.stored.journal = self.ledger.journal().clone();
        for change in self.ledger.take_changes() {
            self.stored.apply(change);
        }
    }

    fn compare(&mut self, line: usize, stated: &str, said: &str) {
        self.report.compared += 1;
        if stated != said {
            let difference = format!("line {line}: stated {stated:?}, said {said:?}");
            self.report.differences.push(difference);
        }
    }
}

fn new_sample(id: SampleId) -> NewSample {
    NewSample {
        prompt: id.to_string(),
        id,
        group: None,
    }
}

fn result(version: WeightVersion) -> FinishedSample {
    FinishedSample {
        segments: vec![Segment {
            engine: EngineId::from("engine"),
            version,
            first_token: 0,
            last_token: 0,
        }],
        token_count: 1,
        object: "object".to_owned(),
        score: 0.0,
    }
}

fn describe(entries: &[HandOver]) -> String {
    let entry = |entry: &HandOver| match entry {
        HandOver::Sample { sequence, record } => format!("{sequence}:{}", record.sample.id),
        HandOver::Withdrawn { sequence, id } => format!("{sequence}:withdrawn:{id}"),
    };
    let described: Vec<String> = entries.iter().map(entry).collect();
    described.join(" ")
}
