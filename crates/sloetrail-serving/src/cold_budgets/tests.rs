use super::ColdBudgets;
use crate::directory_index::KeyRanges;
use crate::follow::TableView;
use crate::leases::RecordedSets;
use crate::rows;
use crate::settings::ColdTolerance;
use crate::table::Row;
use bytes::Bytes;
use serde_json::json;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{AllowedRegions, RegionName, RowVersion, ServiceName};

#[test]
fn live_requests_and_allowed_owners_share_a_back_end() {
    let only = |names: &[&str]| AllowedRegions::only(names.iter().copied().map(RegionName::from));
    let budgets = ColdBudgets {
        sustained_per_second: 8.0,
        max_per_second: 17.0,
        owners: [
            AllowedRegions::everywhere(),
            only(&["north"]),
            only(&["north", "south"]),
        ]
        .into(),
        has_live_requests: true,
    };
    let senders = |region: Option<&str>| {
        let region = region.map(RegionName::from);
        budgets.for_region(region.as_ref()).senders
    };
    assert_eq!(senders(Some("north")), 4);
    assert_eq!(senders(Some("south")), 3);
    assert_eq!(senders(Some("east")), 2);
    assert_eq!(senders(None), 2, "region-bound work never goes there");
    assert_eq!(budgets.for_region(None).sustained_per_second, 8.0);
}

/// Batches accepted under an earlier configuration are still sent by their owner.
#[test]
fn owners_of_unconfigured_sets_still_have_a_share() {
    let configuration = json!({
        "version": 1,
        "routes": [{"name": "rollout", "host": "a.example", "path_prefix": "/r/",
                    "kind": "rollout", "timeout_ms": 5000, "target_latency_ms": 400,
                    "max_attempts": 3, "service": "models", "allowed_regions": ["south"]}],
        "services": [{"name": "models", "max_conns": 100, "cold_s": 3, "cold_per_s": 8}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_000_000},
    });
    let configuration = configuration.to_string();
    let configuration = ServingConfiguration::parse(configuration.as_bytes()).expect("valid");
    let address = rows::lease("models@north");
    let row = Row {
        address: address.clone(),
        value: Bytes::new(),
        version: RowVersion(1),
    };
    let leases = TableView {
        ranges: KeyRanges::all_keys(),
        rows: [(address.key, row)].into(),
        version: RowVersion(1),
        confirmed_at: None,
        requested_at: None,
        interruptions: 0,
    };
    let senders = |leased: &RecordedSets, region: &str| {
        let models = ServiceName::from("models");
        let budgets = ColdTolerance::default().budgets(&configuration, leased, &models);
        let region = RegionName::from(region);
        budgets.expect("bounded").for_region(Some(&region)).senders
    };
    let leased = RecordedSets::from_view(&leases);
    assert_eq!(senders(&RecordedSets::default(), "north"), 1);
    assert_eq!(senders(&leased, "north"), 2);
    assert_eq!(senders(&leased, "south"), 2, "configured owners only");
}
