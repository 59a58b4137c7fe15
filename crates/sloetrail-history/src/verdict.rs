//! What a check says.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Invariant {
    /// A sample names exactly the weight versions that produced it.
    I1,
    /// No sample is handed over beyond the staleness bound.
    I2,
    /// Each sample reaches the trainer exactly once.
    I3,
    /// A caller receives the whole answer to its own request.
    I4,
    /// A request that was called not run was not run.
    I5,
    /// A request that may not repeat runs at most once.
    I6,
    /// A leaving back end receives no new work after a few seconds.
    I7,
    /// A planned stop cuts nothing off.
    I8,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    I9,
}

impl Invariant {
    /// All of them, in order.
    pub const ALL: [Invariant; 9] = [
        Invariant::I1,
        Invariant::I2,
        Invariant::I3,
        Invariant::I4,
        Invariant::I5,
        Invariant::I6,
        Invariant::I7,
        Invariant::I8,
        Invariant::I9,
    ];

    /// The invariant of a name such as `I4`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|invariant| invariant.to_string() == name)
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

/// Events that break an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// What is wrong, with the names of what is involved.
    pub reason: String,
}

/// The judgement on one invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The invariant.
    pub invariant: Invariant,
    /// How many things were looked at.
    pub checked: u64,
    /// What breaks it.
    pub violations: Vec<Violation>,
    /// What the recording does not tell, so that it could not be looked at.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub not_checked: Vec<String>,
}

impl Verdict {
    /// A verdict with nothing looked at yet.
    pub(crate) fn new(invariant: Invariant) -> Self {
        Self {
            invariant,
            checked: 0,
            violations: Vec::new(),
            not_checked: Vec::new(),
        }
    }

    /// Says that the recording does not tell what is needed to look at something.
    pub(crate) fn leave_unchecked(&mut self, what: &str) {
        self.not_checked.push(what.to_owned());
    }

    /// Counts one thing looked at; `broken` gives the reason if it is wrong.
    pub(crate) fn judge(&mut self, broken: Option<String>) {
        self.checked += 1;
        self.violations
            .extend(broken.map(|reason| Violation { reason }));
    }

    /// True only if something was looked at and nothing was wrong.
    pub fn holds(&self) -> bool {
        self.checked > 0 && self.violations.is_empty()
    }

    /// True only if it holds and the recording told all that there is to look at.
    pub fn holds_in_full(&self) -> bool {
        self.holds() && self.not_checked.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let invariant = self.invariant;
        match self.violations.first() {
            Some(violation) => write!(
                formatter,
                "{invariant} violated checked={} violations={} event={}",
                self.checked,
                self.violations.len(),
                violation.reason
            ),
            None if self.checked == 0 => write!(formatter, "{invariant} unchecked"),
            None => write!(formatter, "{invariant} held checked={}", self.checked),
        }?;
        self.not_checked
            .iter()
            .try_for_each(|what| write!(formatter, " (not checked for {what})"))
    }
}
