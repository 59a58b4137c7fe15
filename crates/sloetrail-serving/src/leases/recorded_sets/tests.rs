use super::{RecordedSets, watch_recorded_sets};
use crate::directory_index::KeyRanges;
use crate::follow::TableView;
use crate::leases::BatchSet;
use crate::rows;
use crate::table::{Row, RowAddress};
use bytes::Bytes;
use sloetrail_types::{AllowedRegions, RegionName, RowVersion, ServiceName};
use std::sync::Arc;
use tokio::sync::watch;

/// A view of the lease and fence rows of these resources.
fn view(names: &[&str], version: u64) -> Arc<TableView> {
    view_of(
        names
            .iter()
            .flat_map(|resource| [rows::lease(resource), rows::fence(resource)]),
        version,
    )
}

fn view_of(addresses: impl Iterator<Item = RowAddress>, version: u64) -> Arc<TableView> {
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
fn leased_sets_are_recorded_and_bound_ones_may_have_batches() {
    let names = ["models", "models@north", "others@south", "*usage-reports"];
    let sets = RecordedSets::from_view(&view(&names, 1));
    let models = ServiceName::from("models");
    let of_service = sets.regions_with_batches(&models);
    assert_eq!(of_service.collect::<Vec<_>>(), [&north()]);
    assert_eq!(sets.iter().count(), 3);
}

#[test]
fn registered_sets_are_recorded_without_a_lease() {
    let registered = ["models", "others@north"].map(rows::batch_set);
    let sets = RecordedSets::from_view(&view_of(registered.into_iter(), 1));
    let names: Vec<&str> = sets.iter().map(BatchSet::name).collect();
    assert_eq!(names, ["models", "others@north"]);
    let everywhere = AllowedRegions::everywhere();
    let models = ServiceName::from("models");
    let of_models = sets.regions_with_batches(&models);
    assert_eq!(of_models.collect::<Vec<_>>(), [&everywhere]);
}

#[tokio::test]
async fn new_set_is_published_but_renewal_is_not() {
    let (leases, leases_view) = watch::channel(view(&["models"], 1));
    let mut sets = watch_recorded_sets(leases_view);
    leases.send_replace(view(&["models", "models@north"], 2));
    sets.changed().await.expect("the new set is published");
    assert_eq!(sets.borrow_and_update().iter().count(), 2);
    leases.send_replace(view(&["models", "models@north"], 3));
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    assert!(!sets.has_changed().expect("the task is running"));
}
