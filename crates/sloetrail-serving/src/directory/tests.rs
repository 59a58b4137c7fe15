//! Until when back ends are cold, by their rows and by evacuations that were withdrawn.

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

const LASTS: Duration = Duration::from_secs(4);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The table with one back end, whose row was written as this version.
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

fn read(directory: &Directory, table: &TableView) -> Directory {
    directory.updated(table, &NativeDialect::default())
}

/// A zone whose evacuation was withdrawn just now.
fn withdrawn(zone: &str) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.take([ZoneName::from(zone)].into());
    evacuations.take([].into());
    evacuations
}

/// How much longer the back end is cold.
fn cold_left(directory: &Directory, evacuations: &Evacuations) -> Option<Duration> {
    let back_end = &directory.back_ends[&EngineId::from("e1")];
    let until = directory.cold_until(back_end, evacuations, LASTS)?;
    Some(until - BootInstant::now())
}

#[tokio::test(start_paused = true)]
async fn a_row_that_is_read_again_unchanged_does_not_begin_the_time_anew() {
    let none = Evacuations::default();
    let first = read(&Directory::default(), &table(1, 3_000));
    assert_eq!(cold_left(&first, &none), Some(milliseconds(3_000)));
    assert_eq!(first.cold_count(BootInstant::now()), 1);
    advance(milliseconds(1_000)).await;
    let mut later = table(1, 3_000);
    later.version = RowVersion(9);
    let again = read(&first, &later);
    assert_eq!(cold_left(&again, &none), Some(milliseconds(2_000)));
    advance(milliseconds(2_000)).await;
    assert_eq!(cold_left(&again, &none), None);
    assert_eq!(again.cold_count(BootInstant::now()), 0);
}

#[tokio::test(start_paused = true)]
async fn a_newer_row_tells_that_it_is_warm_sooner_or_cold_again() {
    let none = Evacuations::default();
    let cold = read(&Directory::default(), &table(1, 3_000));
    let warm = read(&cold, &table(2, 0));
    assert_eq!(cold_left(&warm, &none), None);
    let again = read(&warm, &table(3, 2_500));
    assert_eq!(cold_left(&again, &none), Some(milliseconds(2_500)));
    let relisted = read(&read(&again, &empty(4)), &table(5, 2_000));
    assert_eq!(cold_left(&relisted, &none), Some(milliseconds(2_000)));
}

#[tokio::test(start_paused = true)]
async fn after_a_withdrawal_back_ends_of_the_zone_count_as_cold_for_as_long_as_a_start() {
    let warm = read(&Directory::default(), &table(1, 0));
    let of_zone = withdrawn("north");
    assert_eq!(cold_left(&warm, &of_zone), Some(LASTS));
    assert_eq!(cold_left(&warm, &withdrawn("south")), None);
    let cold = read(&warm, &table(2, 6_000));
    let longer = cold_left(&cold, &of_zone);
    assert_eq!(longer, Some(milliseconds(6_000)), "the later end counts");
    advance(LASTS).await;
    assert_eq!(cold_left(&warm, &of_zone), None);
}

/// The table with one back end of a life that began at this time.
fn table_of_life(version: u64, started_ms: u64, draining: bool) -> TableView {
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
async fn a_new_life_takes_the_place_of_the_one_before_and_that_never_comes_back() {
    let first = read(&Directory::default(), &table_of_life(1, 700, false));
    assert_eq!(listed(&first), [("e1@700", false)]);
    // Its clock has jumped back: lives are told apart, not put in order.
    let second = read(&first, &table_of_life(2, 300, false));
    assert_eq!(listed(&second), [("e1@300", false)]);
    let late = read(&second, &table_of_life(3, 700, true));
    assert_eq!(listed(&late), [("e1@300", false)]);
    let unchanged = read(
        &late,
        &TableView {
            version: RowVersion(9),
            ..table_of_life(3, 700, true)
        },
    );
    assert_eq!(listed(&unchanged), [("e1@300", false)]);
    let leaves = read(&unchanged, &table_of_life(10, 300, true));
    assert_eq!(listed(&leaves), [("e1@300", true)]);
}

#[tokio::test(start_paused = true)]
async fn a_row_that_cannot_be_read_names_no_back_end_and_the_life_comes_back_with_it() {
    let known = read(&Directory::default(), &table_of_life(1, 700, false));
    let mut spoilt = table_of_life(2, 700, false);
    if let Some(row) = spoilt.rows.get_mut("e1") {
        row.value = "{\"service\":7".into();
    }
    let unreadable = read(&known, &spoilt);
    assert_eq!(listed(&unreadable), []);
    let again = read(&unreadable, &table_of_life(3, 700, false));
    assert_eq!(listed(&again), [("e1@700", false)]);
    let next = read(&unreadable, &table_of_life(3, 900, false));
    let before = EngineId::from("e1@700");
    assert!(
        next.ended().end_of(&before).is_some(),
        "it has ended meanwhile"
    );
}

/// What a change of one entry costs at 890 back ends, each of which writes its own once a heartbeat:
/// 0.63 to 0.69 ms before lives were told apart, 0.35 to 0.56 since (release build, three runs each in
/// turn, beside other work).
#[test]
fn a_changed_entry_costs_what_it_did() {
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
    let mut directory = read(&Directory::default(), &view);
    let began = std::time::Instant::now();
    for number in 0..BACK_ENDS {
        let (key, changed) = row(number, number + 2);
        view.rows.insert(key, changed);
        view.version = RowVersion(number + 2);
        directory = read(&directory, &view);
    }
    let each = began.elapsed() / BACK_ENDS as u32;
    assert_eq!(directory.back_ends.len(), BACK_ENDS as usize);
    println!("a changed entry among {BACK_ENDS}: {each:?}");
    assert!(each < std::time::Duration::from_millis(20), "{each:?}");
}

/// Who asked for more of the directory looks again once it has come, also if it has no row.
#[tokio::test(start_paused = true)]
async fn another_part_of_an_unchanged_table_is_passed_on() {
    let part =
        DirectoryIndex::from_keys(["e1".to_owned(), "e2".to_owned()].iter()).ranges_for("n", 1);
    assert!(!part.covers_all());
    let view = |ranges: KeyRanges| Arc::new(TableView { ranges, ..empty(7) });
    let (sender, receiver) = watch::channel(Arc::new(TableView::empty()));
    let dialect = Arc::new(NativeDialect::default());
    let (mut directory, _taken_in) = watch_directory(receiver, dialect, FleetSize::default());
    for ranges in [part, KeyRanges::all_keys()] {
        let covers_all = ranges.covers_all();
        sender.send_replace(view(ranges));
        directory.changed().await.expect("it is told");
        assert_eq!(directory.borrow_and_update().covers_all, covers_all);
    }
}
