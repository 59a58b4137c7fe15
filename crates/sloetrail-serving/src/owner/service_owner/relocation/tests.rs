use super::{Candidate, retain_critical};

fn candidate(index: usize, remaining: f64, event_interval_ms: u64) -> Candidate {
    Candidate {
        index,
        remaining,
        event_interval_us: event_interval_ms * 1_000,
    }
}

/// Guards against moving texts whose earlier end would not complete their batch sooner.
#[test]
fn only_texts_near_the_longest_remaining_time_move() {
    let mut candidates = vec![
        candidate(0, 12.0, 60),
        candidate(1, 50.0, 60),
        // Fewer events, on a slower engine.
        candidate(2, 45.0, 75),
        candidate(3, 37.0, 60),
        candidate(4, 44.0, 60),
    ];
    retain_critical(&mut candidates);
    let retained: Vec<usize> = candidates.iter().map(|text| text.index).collect();
    assert_eq!(retained, [2, 1, 4]);
}

#[test]
fn no_candidates_remain_without_runs() {
    let mut candidates = Vec::new();
    retain_critical(&mut candidates);
    assert!(candidates.is_empty());
}
