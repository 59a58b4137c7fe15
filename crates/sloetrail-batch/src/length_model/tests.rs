use super::LengthModel;

/// A model trained on these hints and event counts.
fn trained(texts: &[(u64, usize)]) -> LengthModel {
    let mut model = LengthModel::default();
    for _ in 0..10 {
        for (units, events) in texts {
            model.record(*units, *events);
        }
    }
    model
}

#[test]
fn no_estimate_before_enough_texts_finished() {
    let mut model = LengthModel::default();
    model.record(500, 10);
    assert_eq!(model.remaining_events(500, 0), None);
    // Texts without a hint or without events are ignored.
    for _ in 0..20 {
        model.record(0, 10);
        model.record(500, 0);
    }
    assert_eq!(model.remaining_events(500, 0), None);
}

#[test]
fn exact_hints_give_exact_estimates() {
    let model = trained(&[(500, 10), (1_000, 20), (50, 1)]);
    let remaining = model.remaining_events(2_000, 15).expect("trained");
    assert!((remaining - 25.0).abs() < 0.5, "{remaining}");
    let outgrown = model.remaining_events(500, 30).expect("trained");
    assert!(outgrown < 1.0, "{outgrown}");
}

#[test]
fn text_beyond_a_poor_hint_is_expected_to_continue() {
    let model = trained(&[(100, 10), (400, 10), (25, 10)]);
    let outgrown = model.remaining_events(100, 60).expect("trained");
    assert!(outgrown > 20.0, "{outgrown}");
    assert!(outgrown <= 60.0, "{outgrown}");
}
