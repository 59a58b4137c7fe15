use super::ColdBudgets;
use crate::directory_index::KeyRanges;
use crate::follow::TableView;
use crate::leases::LeasedSets;
use crate::rows;
use crate::settings::ColdTolerance;
use crate::table::Row;
use bytes::Bytes;
use serde_json::json;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{AllowedRegions, RegionName, RowVersion, ServiceName};

#[test]
fn a_back_end_is_shared_by_live_requests_and_the_owners_that_may_use_its_region() {
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
        budgets.of_region(region.as_ref()).senders
    };
    assert_eq!(senders(Some("north")), 4);
    assert_eq!(senders(Some("south")), 3);
    assert_eq!(senders(Some("east")), 2);
    assert_eq!(senders(None), 2, "nothing that is bound goes there");
    assert_eq!(budgets.of_region(None).sustained_per_second, 8.0);
}

/// The owner of batches that an earlier configuration bound sends there as well.
#[test]
fn the_owner_of_a_set_that_no_configuration_names_any_more_has_its_share() {
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
    let senders = |leased: &LeasedSets, region: &str| {
        let models = ServiceName::from("models");
        let budgets = ColdTolerance::default().budgets(&configuration, leased, &models);
        let region = RegionName::from(region);
        budgets.expect("bounded").of_region(Some(&region)).senders
    };
    let leased = LeasedSets::from_view(&leases);
    assert_eq!(senders(&LeasedSets::default(), "north"), 1);
    assert_eq!(senders(&leased, "north"), 2);
    assert_eq!(
        senders(&leased, "south"),
        2,
        "the owners that are configured"
    );
}
