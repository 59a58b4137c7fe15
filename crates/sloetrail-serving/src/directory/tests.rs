//! Cold times, replaced incarnations and updates of the directory.

use super::{Directory, watch_directory};
use crate::directory_index::{DirectoryIndex, KeyRanges};
use crate::follow::{FleetSize, TableView};
use crate::native_dialect::NativeDialect;
use crate::operator::Evacuations;
use crate::table::{Row, RowAddress};
use serde_json::json;
use sloetrail_clock::BootInstant;
use sloetrail_types::{EngineId, RowVersion, ZoneName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::advance;

const COLD_DURATION: Duration = Duration::from_secs(4);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A table with one back end, whose row has this version.
fn table(version: u64, cold_left_ms: u64) -> TableView {
    let value = json!({
        "service": "models", "address": "127.0.0.1:1", "zone": "north",
        "slots": 8, "cold_left_ms": cold_left_ms,
    });
    let row = Row {
        address: RowAddress::new("back_ends", "", "e1"),
        value: value.to_string().into(),
        version: RowVersion(version),
    };
    TableView {
        rows: [("e1".to_owned(), row)].into(),
        ..empty(version)
    }
}

fn empty(version: u64) -> TableView {
    TableView {
        version: RowVersion(version),
        ..TableView::empty()
    }
}

fn updated(directory: &Directory, table: &TableView) -> Directory {
    directory.updated(table, &NativeDialect::default())
}

/// Evacuations with one that was just withdrawn.
fn withdrawn(zone: &str) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.replace([ZoneName::from(zone)].into());
    evacuations.replace([].into());
    evacuations
}

/// The remaining cold time of the back end.
fn cold_remaining(directory: &Directory, evacuations: &Evacuations) -> Option<Duration> {
    let back_end = &directory.back_ends[&EngineId::from("e1")];
    let until = directory.cold_until(back_end, evacuations, COLD_DURATION)?;
    Some(until - BootInstant::now())
}

#[tokio::test(start_paused = true)]
async fn rereading_an_unchanged_row_does_not_restart_cold_time() {
    let none = Evacuations::default();
    let first = updated(&Directory::default(), &table(1, 3_000));
    assert_eq!(cold_remaining(&first, &none), Some(milliseconds(3_000)));
    assert_eq!(first.cold_count(BootInstant::now()), 1);
    advance(milliseconds(1_000)).await;
    let mut later = table(1, 3_000);
    later.version = RowVersion(9);
    let again = updated(&first, &later);
    assert_eq!(cold_remaining(&again, &none), Some(milliseconds(2_000)));
    advance(milliseconds(2_000)).await;
    assert_eq!(cold_remaining(&again, &none), None);
    assert_eq!(again.cold_count(BootInstant::now()), 0);
}

#[tokio::test(start_paused = true)]
async fn a_newer_row_replaces_the_cold_time() {
    let none = Evacuations::default();
    let cold = updated(&Directory::default(), &table(1, 3_000));
    let warm = updated(&cold, &table(2, 0));
    assert_eq!(cold_remaining(&warm, &none), None);
    let again = updated(&warm, &table(3, 2_500));
    assert_eq!(cold_remaining(&again, &none), Some(milliseconds(2_500)));
    let relisted = updated(&updated(&again, &empty(4)), &table(5, 2_000));
    assert_eq!(cold_remaining(&relisted, &none), Some(milliseconds(2_000)));
}

#[tokio::test(start_paused = true)]
async fn back_ends_are_cold_after_evacuation_is_withdrawn() {
    let warm = updated(&Directory::default(), &table(1, 0));
    let of_zone = withdrawn("north");
    assert_eq!(cold_remaining(&warm, &of_zone), Some(COLD_DURATION));
    assert_eq!(cold_remaining(&warm, &withdrawn("south")), None);
    let cold = updated(&warm, &table(2, 6_000));
    let longer = cold_remaining(&cold, &of_zone);
    assert_eq!(longer, Some(milliseconds(6_000)), "the later end applies");
    advance(COLD_DURATION).await;
    assert_eq!(cold_remaining(&warm, &of_zone), None);
}

/// A table with one back end whose incarnation started at this time.
fn table_of_incarnation(version: u64, started_ms: u64, draining: bool) -> TableView {
    let mut table = table(version, 0);
    let value = json!({
        "service": "models", "address": "127.0.0.1:1", "zone": "north",
        "slots": 8, "started_ms": started_ms, "draining": draining,
    });
    if let Some(row) = table.rows.get_mut("e1") {
        row.value = value.to_string().into();
    }
    table
}

fn listed(directory: &Directory) -> Vec<(&str, bool)> {
    let back_ends = directory.back_ends.values();
    back_ends
        .map(|back_end| (back_end.id.as_str(), back_end.draining))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn a_replaced_incarnation_is_never_listed_again() {
    let first = updated(&Directory::default(), &table_of_incarnation(1, 700, false));
    assert_eq!(listed(&first), [("e1@700", false)]);
    // The back end's clock jumped back: start times distinguish incarnations but don't order them.
    let second = updated(&first, &table_of_incarnation(2, 300, false));
    assert_eq!(listed(&second), [("e1@300", false)]);
    let late = updated(&second, &table_of_incarnation(3, 700, true));
    assert_eq!(listed(&late), [("e1@300", false)]);
    let unchanged = updated(
        &late,
        &TableView {
            version: RowVersion(9),
            ..table_of_incarnation(3, 700, true)
        },
    );
    assert_eq!(listed(&unchanged), [("e1@300", false)]);
    let leaves = updated(&unchanged, &table_of_incarnation(10, 300, true));
    assert_eq!(listed(&leaves), [("e1@300", true)]);
}

#[tokio::test(start_paused = true)]
async fn an_undecodable_row_unlists_its_back_end_until_fixed() {
    let known = updated(&Directory::default(), &table_of_incarnation(1, 700, false));
    let mut undecodable = table_of_incarnation(2, 700, false);
    if let Some(row) = undecodable.rows.get_mut("e1") {
        row.value = "{\"service\":7".into();
    }
    let unreadable = updated(&known, &undecodable);
    assert_eq!(listed(&unreadable), []);
    let again = updated(&unreadable, &table_of_incarnation(3, 700, false));
    assert_eq!(listed(&again), [("e1@700", false)]);
    let next = updated(&unreadable, &table_of_incarnation(3, 900, false));
    let before = EngineId::from("e1@700");
    assert!(
        next.ended().end_of(&before).is_some(),
        "the incarnation before the unreadable row counts as ended"
    );
}

/// Every back end rewrites its row with each heartbeat. Guards against an update whose cost makes
/// the directory fall behind.
#[test]
fn updating_one_row_of_many_stays_cheap() {
    const BACK_ENDS: u64 = 890;
    let row = |number: u64, version: u64| {
        let key = format!("e{number:04}");
        let value = json!({
            "service": "models", "address": "127.0.0.1:1", "zone": "north",
            "slots": 8, "cold_left_ms": 0, "versions": {"m": version},
        });
        let row = Row {
            address: RowAddress::new("back_ends", "", &key),
            value: value.to_string().into(),
            version: RowVersion(version),
        };
        (key, row)
    };
    let mut view = empty(1);
    view.rows = (0..BACK_ENDS).map(|number| row(number, 1)).collect();
    let mut directory = updated(&Directory::default(), &view);
    let started_at = std::time::Instant::now();
    for number in 0..BACK_ENDS {
        let (key, changed) = row(number, number + 2);
        view.rows.insert(key, changed);
        view.version = RowVersion(number + 2);
        directory = updated(&directory, &view);
    }
    let each = started_at.elapsed() / BACK_ENDS as u32;
    assert_eq!(directory.back_ends.len(), BACK_ENDS as usize);
    println!("update of one row among {BACK_ENDS}: {each:?}");
    assert!(each < std::time::Duration::from_millis(20), "{each:?}");
}

/// Whoever demands more of the directory waits for it, even if no row was added.
#[tokio::test(start_paused = true)]
async fn new_ranges_of_an_unchanged_table_are_published() {
    let some_ranges =
        DirectoryIndex::from_keys(["e1".to_owned(), "e2".to_owned()].iter()).ranges_for("n", 1);
    assert!(!some_ranges.covers_all());
    let view = |ranges: KeyRanges| Arc::new(TableView { ranges, ..empty(7) });
    let (sender, receiver) = watch::channel(Arc::new(TableView::empty()));
    let dialect = Arc::new(NativeDialect::default());
    let (mut directory, _last_applied) = watch_directory(receiver, dialect, FleetSize::default());
    for ranges in [some_ranges, KeyRanges::all_keys()] {
        let covers_all = ranges.covers_all();
        sender.send_replace(view(ranges));
        directory
            .changed()
            .await
            .expect("the directory is published");
        assert_eq!(directory.borrow_and_update().covers_all, covers_all);
    }
}
