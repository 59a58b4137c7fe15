//! Evacuations that are requested, withdrawn and requested again.

use super::{Evacuations, InForce, apply_evacuations};
use crate::follow::TableView;
use crate::native_dialect::NativeDialect;
use crate::table::{Row, RowAddress};
use bytes::Bytes;
use sloetrail_clock::BootInstant;
use sloetrail_types::{RowVersion, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| ZoneName::from(*name)).collect()
}

#[tokio::test(start_paused = true)]
async fn a_withdrawal_is_timestamped_once_for_its_zone() {
    let (north, south) = (ZoneName::from("north"), ZoneName::from("south"));
    let mut evacuations = Evacuations::default();
    assert!(evacuations.replace(zones(&["north", "south"])));
    assert!(evacuations.covers(&north) && evacuations.covers(&south));
    assert_eq!(evacuations.withdrawn_at(&north), None);
    advance(SECOND).await;
    let withdrawn_at = BootInstant::now();
    assert!(evacuations.replace(zones(&["south"])));
    assert!(!evacuations.covers(&north) && evacuations.covers(&south));
    assert_eq!(evacuations.count(), 1);
    advance(SECOND).await;
    assert!(
        !evacuations.replace(zones(&["south"])),
        "the evacuated zones have not changed"
    );
    assert_eq!(evacuations.withdrawn_at(&north), Some(withdrawn_at));
    assert_eq!(evacuations.withdrawn_at(&south), None);
}

#[tokio::test(start_paused = true)]
async fn a_repeated_evacuation_updates_the_withdrawal_time() {
    let north = ZoneName::from("north");
    let mut evacuations = Evacuations::default();
    for _ in 0..2 {
        evacuations.replace(zones(&["north"]));
        assert!(evacuations.covers(&north));
        advance(SECOND).await;
        evacuations.replace(zones(&[]));
        assert_eq!(evacuations.withdrawn_at(&north), Some(BootInstant::now()));
        advance(SECOND).await;
    }
}

fn table(keys: &[&str]) -> TableView {
    let row = |key: &&str| {
        let row = Row {
            address: RowAddress::new("configuration", "", *key),
            value: Bytes::from_static(b"{}"),
            version: RowVersion(1),
        };
        ((*key).to_owned(), row)
    };
    TableView {
        rows: keys.iter().map(row).collect(),
        ..TableView::empty()
    }
}

#[test]
fn rows_determine_the_evacuated_zones() {
    let dialect = NativeDialect::default();
    let mut in_force = InForce::default();
    let requested = table(&["evacuations/north", "versions/north", "configuration"]);
    assert!(apply_evacuations(&mut in_force, &requested, &dialect));
    assert_eq!(in_force.evacuations.zones, zones(&["north"]));
    assert!(!apply_evacuations(&mut in_force, &requested, &dialect));
    assert!(apply_evacuations(&mut in_force, &table(&[]), &dialect));
    assert_eq!(in_force.evacuations.count(), 0);
}
