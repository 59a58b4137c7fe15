use super::{LabelValues, MAX_LABEL_VALUES, OTHER};

#[test]
fn label_values_over_the_limit_become_other() {
    let values = LabelValues::new();
    for number in 0..MAX_LABEL_VALUES {
        let name = format!("r{number}");
        assert_eq!(values.bounded(&name), name);
    }
    assert_eq!(values.bounded("one more"), OTHER);
    assert_eq!(values.bounded("r3"), "r3");
}
