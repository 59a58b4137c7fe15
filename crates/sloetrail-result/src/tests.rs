use crate::{Kind, Problem, ResultCode};

fn kind_text(kind: Kind) -> &'static str {
    match kind {
        Kind::NotRun => "not_run",
        Kind::OutcomeUnknown => "outcome_unknown",
        Kind::RanAndFailed => "ran_and_failed",
    }
}

#[test]
fn documented_codes_match_the_table() {
    let page = include_str!("../../../docs/RESULT-CODES.md");
    let documented: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_numeric()))
        .collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | {} | {} | {} | {} | {} |",
                code.number(),
                code.title(),
                kind_text(code.kind()),
                code.status(),
                code.meaning(),
                code.action()
            )
        })
        .collect();
    assert_eq!(documented, expected);
}

#[test]
fn codes_are_found_by_their_numbers() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(1), None);
}

#[test]
fn problem_has_the_kind_and_status_of_its_code() {
    let problem = Problem::new(ResultCode::EngineLost, "lost").with_retry_after_ms(5);
    assert_eq!(problem.kind, Kind::OutcomeUnknown);
    assert_eq!(problem.status, 502);
    assert!(problem.is(ResultCode::EngineLost));
    assert_eq!(problem.retry_after_ms, Some(5));
}
