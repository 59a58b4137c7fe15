use super::{LeasedSets, watch_leased_sets};
use crate::directory_index::KeyRanges;
use crate::follow::TableView;
use crate::rows;
use crate::table::Row;
use bytes::Bytes;
use sloetrail_types::{AllowedRegions, RegionName, RowVersion, ServiceName};
use std::sync::Arc;
use tokio::sync::watch;

/// A view of the lease and fence rows of these resources.
fn view(names: &[&str], version: u64) -> Arc<TableView> {
    let addresses = names
        .iter()
        .flat_map(|resource| [rows::lease(resource), rows::fence(resource)]);
    let rows = addresses.map(|address| {
        let row = Row {
            address: address.clone(),
            value: Bytes::new(),
            version: RowVersion(version),
        };
        (address.key, row)
    });
    Arc::new(TableView {
        ranges: KeyRanges::all_keys(),
        rows: rows.collect(),
        version: RowVersion(version),
        confirmed_at: None,
        requested_at: None,
        interruptions: 0,
    })
}

fn north() -> AllowedRegions {
    AllowedRegions::only([RegionName::from("north")])
}

#[test]
fn regions_are_listed_for_bound_sets_of_the_service() {
    let names = ["models", "models@north", "others@south", "*usage-reports"];
    let sets = LeasedSets::from_view(&view(&names, 1));
    let models = ServiceName::from("models");
    let of_service = sets.regions_of(&models);
    assert_eq!(of_service.collect::<Vec<_>>(), [&north()]);
    assert_eq!(sets.iter().count(), 2);
}

#[tokio::test]
async fn new_set_is_published_but_renewal_is_not() {
    let (leases, leases_view) = watch::channel(view(&["models"], 1));
    let mut sets = watch_leased_sets(leases_view);
    leases.send_replace(view(&["models", "models@north"], 2));
    sets.changed().await.expect("the new set is published");
    assert_eq!(sets.borrow_and_update().iter().count(), 1);
    leases.send_replace(view(&["models", "models@north"], 3));
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    assert!(!sets.has_changed().expect("the task is running"));
}
