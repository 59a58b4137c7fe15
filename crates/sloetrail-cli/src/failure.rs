//! Command failures and their exit codes.

use sloetrail_config::ConfigError;
use sloetrail_result::{Kind, Problem, ResultCode};

const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_OUTCOME_UNKNOWN: u8 = 4;

/// A failed command: a problem document and an exit code.
#[derive(Debug)]
pub(crate) struct Failure {
    problem: Problem,
    exit_code: u8,
}

impl Failure {
    /// Invalid arguments or an invalid file; no request was sent.
    pub(crate) fn usage(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::new(code, detail),
            exit_code: EXIT_USAGE,
        }
    }

    pub(crate) fn unreachable(detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::new(ResultCode::NodeUnreachable, detail),
            exit_code: EXIT_UNREACHABLE,
        }
    }

    /// An invariant or an expected outcome is violated.
    pub(crate) fn violated(detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::new(ResultCode::InvariantViolated, detail),
            exit_code: EXIT_REFUSED,
        }
    }

    pub(crate) fn exit_code(&self) -> u8 {
        self.exit_code
    }

    pub(crate) fn print(&self, as_json: bool) {
        if as_json {
            println!("{}", serde_json::json!({ "problem": self.problem }));
            return;
        }
        let problem = &self.problem;
        eprintln!("sloetrail: {} (code {})", problem.detail, problem.code);
        if let Some(code) = ResultCode::from_number(problem.code) {
            eprintln!("  {} {}", code.meaning(), code.action());
        }
    }
}

impl From<ConfigError> for Failure {
    fn from(error: ConfigError) -> Self {
        Self {
            problem: error.to_problem(),
            exit_code: EXIT_USAGE,
        }
    }
}

impl From<Problem> for Failure {
    fn from(problem: Problem) -> Self {
        let exit_code = match problem.kind {
            Kind::OutcomeUnknown => EXIT_OUTCOME_UNKNOWN,
            Kind::NotRun | Kind::RanAndFailed => EXIT_REFUSED,
        };
        Self { problem, exit_code }
    }
}
