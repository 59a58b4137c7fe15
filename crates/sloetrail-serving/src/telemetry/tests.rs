use super::{LABEL_VALUES_LIMIT, LabelValues, OTHER};

#[test]
fn a_label_has_a_bounded_number_of_values() {
    let values = LabelValues::new();
    for number in 0..LABEL_VALUES_LIMIT {
        let name = format!("r{number}");
        assert_eq!(values.bounded(&name), name);
    }
    assert_eq!(values.bounded("one more"), OTHER);
    assert_eq!(values.bounded("r3"), "r3");
}
