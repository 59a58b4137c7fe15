use super::parse;

#[test]
fn samples_are_parsed_with_labels_and_comments_skipped() {
    let text = "# TYPE a_total counter\na_total 3\n\n\
        b{zone=\"north-a\",kind=\"live\"} 0.25\nnot a sample\nc{zone=\"x\" 1\n";
    let samples = parse(text);
    assert_eq!(samples.len(), 2, "{samples:?}");
    assert_eq!(
        (samples[0].name.as_str(), samples[0].value),
        ("a_total", 3.0)
    );
    assert!(samples[0].labels.is_empty());
    assert_eq!((samples[1].name.as_str(), samples[1].value), ("b", 0.25));
    assert_eq!(samples[1].labels["zone"], "north-a");
    assert_eq!(samples[1].labels["kind"], "live");
}
