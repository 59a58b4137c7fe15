use super::UnsettledSubmissions;

/// Guards against refusing a batch as not run while another attempt may still be written.
#[test]
fn submission_is_open_until_each_attempt_is_settled() {
    let all = UnsettledSubmissions::default();
    assert!(!all.contains("b1"));
    let (first, second) = (all.begin("b1"), all.begin("b1"));
    first.settle();
    assert!(all.contains("b1"));
    assert!(!all.contains("b"));
    drop(second);
    assert!(all.contains("b1"), "its outcome is unknown");
    all.begin("b2").settle();
    assert!(!all.contains("b2"));
}
