use super::{FIRST_TRIALS, ItemKey, ItemTrial, ItemTrials, TrialEnd};
use sloetrail_quarantine::{RequestDigest, RequestParts};
use sloetrail_types::EngineId;

fn digest(name: &str) -> RequestDigest {
    RequestDigest::of(RequestParts {
        tenant: b"",
        host: b"",
        method: b"",
        path_and_query: name.as_bytes(),
        body: b"",
    })
}

fn engine(number: usize) -> EngineId {
    EngineId::new(format!("engine-{number}"))
}

fn key(number: usize) -> ItemKey {
    ("batch".to_owned(), number)
}

fn trial_at(number: usize, is_alone: bool) -> ItemTrial {
    ItemTrial {
        engine: engine(number),
        digest: digest("item"),
        is_alone,
        last_suspect_event: 0,
    }
}

/// Guards against items that crash all engines of a service at once.
#[test]
fn at_most_half_of_the_engines_are_at_risk() {
    const ENGINES: usize = 8;
    let mut trials = ItemTrials::default();
    let mut at_risk = 0;
    for number in 0..ENGINES {
        if trials.may_start_at(&engine(number), false, ENGINES) {
            trials.start(key(number), trial_at(number, false));
            at_risk += 1;
        }
    }
    assert_eq!(at_risk, ENGINES / 2);
    assert!(trials.may_start_at(&engine(0), false, ENGINES));
}

#[test]
fn a_service_with_one_engine_has_trials() {
    let mut trials = ItemTrials::default();
    assert!(trials.may_start_at(&engine(0), true, 1));
    trials.start(key(0), trial_at(0, true));
    assert!(!trials.may_start_at(&engine(0), false, 1));
    assert!(trials.end(&key(0), TrialEnd::Undecided).is_some());
    assert!(trials.may_start_at(&engine(0), false, 1));
}

#[test]
fn an_item_that_is_tried_alone_shares_its_engine_with_no_other_trial() {
    let mut trials = ItemTrials::default();
    trials.start(key(0), trial_at(0, false));
    trials.start(key(1), trial_at(1, true));
    assert!(!trials.may_start_at(&engine(0), true, 8));
    assert!(trials.may_start_at(&engine(0), false, 8));
    assert!(!trials.may_start_at(&engine(1), false, 8));
    assert!(trials.may_start_at(&engine(2), true, 8));
}

#[test]
fn an_item_is_not_tried_beside_one_with_the_same_content() {
    let mut trials = ItemTrials::default();
    trials.start(key(0), trial_at(0, false));
    assert!(trials.includes(digest("item")));
    assert!(!trials.includes(digest("another item")));
}

/// Starts as many trials as may run at once.
fn start_all(trials: &mut ItemTrials) -> usize {
    let mut started = 0;
    while trials.has_room() {
        trials.start(key(started), trial_at(started, false));
        started += 1;
    }
    started
}

/// Guards against losing all trials in a storm that nobody notices while all items are held.
#[test]
fn trials_are_few_until_one_has_passed_and_after_one_was_lost() {
    let mut trials = ItemTrials::default();
    let first = start_all(&mut trials);
    assert_eq!(first, FIRST_TRIALS);
    trials.end(&key(0), TrialEnd::Passed);
    let then = start_all(&mut trials);
    assert!(then > 4 * first, "{then}");
    trials.end(&key(0), TrialEnd::Lost);
    assert!(!trials.has_room());
    for number in 0..then {
        trials.end(&key(number), TrialEnd::Undecided);
    }
    assert_eq!(start_all(&mut trials), FIRST_TRIALS);
}
