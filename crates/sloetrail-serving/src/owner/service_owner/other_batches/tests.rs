use super::OtherBatches;
use sloetrail_batch::BatchHeader;
use sloetrail_types::{
    AllowedRegions, RegionName, ServiceName, TimeSpan, Timestamp, WeightVersion,
};

fn head(model: &str, oldest_version: u64, run_target_ms: u64) -> BatchHeader {
    BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total: 8,
        body_rows: 1,
        accepted_at: Timestamp(1_000),
        max_attempts: 1,
        retention: TimeSpan::from_millis(30_000),
        single_version: false,
        run_target: TimeSpan::from_millis(run_target_ms),
        priority: 5,
        tenant: None,
        tenant_priority: None,
        allowed_regions: AllowedRegions::only([RegionName::from("north")]),
        model: Some(model.to_owned()),
        oldest_version: WeightVersion(oldest_version),
    }
}

#[test]
fn other_batches_count_until_they_end_or_time_out() {
    let mut others = OtherBatches::default();
    others.insert("b1".to_owned(), head("m", 3, 5_000));
    others.insert("b2".to_owned(), head("m", 4, 0));
    others.insert("b3".to_owned(), head("n", 9, 0));
    assert_eq!(others.items("m", 5_999), 16);
    assert_eq!(others.items("m", 6_000), 8, "the first is past its target");
    assert_eq!(others.items("m", 31_000), 0);
    assert!(others.any_active(30_999, |_| true));
    assert!(!others.any_active(31_000, |_| true));
    let is_n = |header: &BatchHeader| header.model.as_deref() == Some("n");
    assert!(others.any_active(30_999, is_n));
    assert!(!others.any_active(30_999, |_| false), "no batch matches");
    assert_eq!(others.demanded_version("m"), Some(WeightVersion(4)));
    others.retain(|id| id != "b2");
    assert_eq!(others.demanded_version("m"), Some(WeightVersion(3)));
    assert_eq!(others.demanded_version("unknown"), None);
}

/// Guards against an order for each batch, and against one for a version that a batch refuses.
#[test]
fn bound_demands_are_one_for_each_model_and_region_set() {
    let mut others = OtherBatches::default();
    others.insert("b1".to_owned(), head("m", 3, 0));
    others.insert("b2".to_owned(), head("m", 5, 0));
    others.insert("b3".to_owned(), head("n", 1, 0));
    let without_model = BatchHeader {
        model: None,
        ..head("m", 9, 0)
    };
    others.insert("b4".to_owned(), without_model);
    let demands: Vec<(String, u64)> = others
        .bound_demands()
        .into_iter()
        .map(|demand| (demand.model, demand.oldest_version.0))
        .collect();
    assert_eq!(demands, [("m".to_owned(), 5), ("n".to_owned(), 1)]);
}
