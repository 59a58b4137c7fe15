//! The `step-report` command: a breakdown of training step durations from node logs.
//!
//! A step is a batch with required groups. When enough of these groups are complete, the
//! owner of the batch logs a `step_whole` event with the age of the batch by phase. The
//! report lists these events and the incomplete steps, and averages the phases.

use crate::failure::Failure;
use crate::log_files::read_logs;
use crate::log_timeline::LogLine;
use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Duration of each phase of a step. The phases add up to the age of the step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct StepParts {
    /// From acceptance until the last owner opened the batch, including earlier owners.
    before_opening_ms: u64,
    /// Until the last item was first sent to an engine.
    waiting_ms: u64,
    /// Running on engines.
    running_ms: u64,
    /// Between two runs, on no engine.
    between_runs_ms: u64,
    scoring_ms: u64,
    /// Committing, including the wait for the table.
    committing_ms: u64,
}

/// Completion of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct StepCompletion {
    /// Age of the batch at completion.
    age_ms: u64,
    parts: StepParts,
    /// Lower bound of the age: decode time of the longest text on the fastest engine.
    least_ms: u64,
    /// Time in which items of the step waited while only engines of other models had free slots.
    waited_while_others_free_ms: u64,
    /// Item whose result was listed last.
    last_item: String,
    /// Number of runs of that item under the last owner.
    runs: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct Step {
    batch: String,
    /// Earliest acceptance, by the wall clock of the accepting node.
    accepted_at_ms: Option<u64>,
    items: u64,
    /// Number of times an owner opened the batch.
    openings: u64,
    /// None if the logs do not contain the completion of the step.
    whole: Option<StepCompletion>,
}

/// All steps, ordered by acceptance time.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
struct StepReport {
    steps: Vec<Step>,
    /// Sum of the phases of completed steps.
    sums: StepParts,
    /// Sum of the ages of completed steps.
    age_ms: u64,
    /// Sum of the lower bounds of completed steps.
    least_ms: u64,
    /// Sum over completed steps.
    waited_while_others_free_ms: u64,
    /// Use of slots while items waited, by model.
    slots: BTreeMap<String, SlotUse>,
}

/// Sums over the log lines of a model with waiting items, at most one a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct SlotUse {
    lines: u64,
    running: u64,
    waiting: u64,
    free: u64,
    free_of_others: u64,
}

/// Prints the breakdown of steps found in log files.
pub(crate) fn step_report(matches: &ArgMatches, as_json: bool) -> Result<(), Failure> {
    let texts = read_logs(matches)?;
    let report = gather(texts.iter().map(String::as_str));
    match as_json {
        true => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        false => print!("{}", as_text(&report)),
    }
    Ok(())
}

fn gather<'a>(logs: impl IntoIterator<Item = &'a str>) -> StepReport {
    let mut steps: BTreeMap<String, Step> = BTreeMap::new();
    let mut report = StepReport::default();
    let lines = logs.into_iter().flat_map(str::lines);
    for line in lines.filter_map(LogLine::parse) {
        report.add_slot_use(&line);
        let Some(batch) = line.field("batch").map(str::to_owned) else {
            continue;
        };
        let step = steps.entry(batch.clone()).or_default();
        step.batch = batch;
        apply_line(step, &line);
    }
    for step in steps.into_values() {
        // Skips batches whose acceptance and opening are both missing from the logs.
        if step.accepted_at_ms.is_some() || step.openings > 0 {
            report.add(step);
        }
    }
    report.steps.sort_by_key(|step| step.accepted_at_ms);
    report
}

fn apply_line(step: &mut Step, line: &LogLine) {
    let number = |name: &str| line.decision.get(name).and_then(Value::as_u64);
    match line.event() {
        "batch_accepted" => {
            step.items = number("items").unwrap_or(step.items);
            let earliest = step.accepted_at_ms.unwrap_or(u64::MAX);
            step.accepted_at_ms = Some(earliest.min(line.time_ms));
        }
        "batch_opened" => {
            step.items = number("items").unwrap_or(step.items);
            step.openings += 1;
        }
        "step_whole" => {
            let part = |name: &str| number(name).unwrap_or_default();
            step.whole = Some(StepCompletion {
                age_ms: part("age_ms"),
                parts: StepParts {
                    before_opening_ms: part("opened_ms"),
                    waiting_ms: part("waiting_ms"),
                    running_ms: part("running_ms"),
                    between_runs_ms: part("between_runs_ms"),
                    scoring_ms: part("scoring_ms"),
                    committing_ms: part("committing_ms"),
                },
                least_ms: part("least_ms"),
                waited_while_others_free_ms: part("waited_while_others_free_ms"),
                last_item: line.field("item").unwrap_or_default().to_owned(),
                runs: part("runs"),
            });
        }
        _ => {}
    }
}

impl StepReport {
    fn add(&mut self, step: Step) {
        if let Some(completed) = &step.whole {
            self.age_ms += completed.age_ms;
            self.least_ms += completed.least_ms;
            self.waited_while_others_free_ms += completed.waited_while_others_free_ms;
            self.sums.add(&completed.parts);
        }
        self.steps.push(step);
    }

    fn add_slot_use(&mut self, line: &LogLine) {
        let Some(model) = line
            .field("model")
            .filter(|_| line.event() == "items_waiting")
        else {
            return;
        };
        let number = |name: &str| line.decision.get(name).and_then(Value::as_u64);
        let slots = self.slots.entry(model.to_owned()).or_default();
        slots.lines += 1;
        slots.running += number("running").unwrap_or_default();
        slots.waiting += number("waiting").unwrap_or_default();
        slots.free += number("free").unwrap_or_default();
        slots.free_of_others += number("free_of_others").unwrap_or_default();
    }
}

impl StepParts {
    fn add(&mut self, other: &Self) {
        self.before_opening_ms += other.before_opening_ms;
        self.waiting_ms += other.waiting_ms;
        self.running_ms += other.running_ms;
        self.between_runs_ms += other.between_runs_ms;
        self.scoring_ms += other.scoring_ms;
        self.committing_ms += other.committing_ms;
    }

    fn named(&self) -> [(&'static str, u64); 6] {
        [
            ("opening", self.before_opening_ms),
            ("waiting", self.waiting_ms),
            ("running", self.running_ms),
            ("between", self.between_runs_ms),
            ("scoring", self.scoring_ms),
            ("commit", self.committing_ms),
        ]
    }
}

/// Renders the report as a table.
fn as_text(report: &StepReport) -> String {
    let mut text = String::new();
    let first = report.steps.iter().find_map(|step| step.accepted_at_ms);
    let first = first.unwrap_or_default();
    // Writing to a `String` is infallible.
    let _ = writeln!(
        text,
        "{:<18} {:>8} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>11} {:>5}",
        "batch",
        "at",
        "items",
        "opened",
        "age",
        "opening",
        "waiting",
        "running",
        "between",
        "scoring",
        "commit",
        "least",
        "others_free",
        "runs"
    );
    for step in &report.steps {
        let at = step.accepted_at_ms.unwrap_or(first).saturating_sub(first);
        let _ = write!(
            text,
            "{:<18} {at:>8} {:>6} {:>6} ",
            step.batch, step.items, step.openings
        );
        let Some(completed) = &step.whole else {
            let _ = writeln!(text, "incomplete");
            continue;
        };
        let _ = write!(text, "{:>7} ", completed.age_ms);
        for (_, part) in completed.parts.named() {
            let _ = write!(text, "{part:>7} ");
        }
        let _ = writeln!(
            text,
            "{:>7} {:>11} {:>5}",
            completed.least_ms, completed.waited_while_others_free_ms, completed.runs
        );
    }
    write_summary(&mut text, report);
    write_slot_use(&mut text, report);
    text
}

fn write_summary(text: &mut String, report: &StepReport) {
    let completed = report.steps.iter().filter(|step| step.whole.is_some());
    let completed = completed.count() as u64;
    let incomplete = report.steps.len() as u64 - completed;
    let _ = writeln!(text, "{completed} steps complete, {incomplete} incomplete");
    if completed == 0 {
        return;
    }
    let parts = report.sums.named();
    let means = parts.map(|(name, sum)| format!("{name} {}", sum / completed));
    let _ = writeln!(
        text,
        "mean age {} ms ({}), least {} ms, others_free {} ms",
        report.age_ms / completed,
        means.join(", "),
        report.least_ms / completed,
        report.waited_while_others_free_ms / completed
    );
}

fn write_slot_use(text: &mut String, report: &StepReport) {
    for (model, slots) in &report.slots {
        let mean = |sum: u64| sum / slots.lines.max(1);
        let _ = writeln!(
            text,
            "model {model}: items waited in {} s; then on average {} ran, {} waited, {} slots of \
             its engines and {} of others were free",
            slots.lines,
            mean(slots.running),
            mean(slots.waiting),
            mean(slots.free),
            mean(slots.free_of_others)
        );
    }
}

#[cfg(test)]
mod tests;
