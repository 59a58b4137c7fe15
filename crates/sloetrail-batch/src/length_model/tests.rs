use super::LengthModel;

/// A model that has seen texts of these lengths with these hints.
fn taught(texts: &[(u64, usize)]) -> LengthModel {
    let mut model = LengthModel::default();
    for _ in 0..10 {
        for (units, events) in texts {
            model.record(*units, *events);
        }
    }
    model
}

#[test]
fn nothing_is_said_before_enough_texts_were_seen() {
    let mut model = LengthModel::default();
    model.record(500, 10);
    assert_eq!(model.remaining_events(500, 0), None);
    // Texts without a hint or without events teach nothing.
    for _ in 0..20 {
        model.record(0, 10);
        model.record(500, 0);
    }
    assert_eq!(model.remaining_events(500, 0), None);
}

#[test]
fn sound_hints_are_believed_in_their_own_unit() {
    let model = taught(&[(500, 10), (1_000, 20), (50, 1)]);
    let remaining = model.remaining_events(2_000, 15).expect("taught");
    assert!((remaining - 25.0).abs() < 0.5, "{remaining}");
    let outgrown = model.remaining_events(500, 30).expect("taught");
    assert!(outgrown < 1.0, "{outgrown}");
}

#[test]
fn a_text_that_has_outgrown_a_poor_hint_is_expected_to_go_on() {
    let model = taught(&[(100, 10), (400, 10), (25, 10)]);
    let outgrown = model.remaining_events(100, 60).expect("taught");
    assert!(outgrown > 20.0, "{outgrown}");
    assert!(outgrown <= 60.0, "{outgrown}");
}
