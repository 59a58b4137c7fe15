//! What says "valid until", "heard at" or "asked at" sees the time for which the machine was
//! suspended, though the steady clock stood still; and no module uses the bare clock.

use crate::follow::TableView;
use crate::leases::{LeaseResource, OrderWindow, Term};
use crate::operator::Evacuations;
use crate::suspension_guard::SuspensionGuard;
use crate::table_clock::TableClock;
use sloetrail_clock::{BootInstant, suspend_thread};
use sloetrail_types::{Epoch, RowVersion, ZoneName};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const SUSPENDED: Duration = Duration::from_secs(5);

#[test]
fn a_view_is_as_old_as_the_suspension() {
    let mut view = TableView::empty();
    view.confirmed_at = Some(BootInstant::now());
    suspend_thread(SUSPENDED);
    assert!(view.age(BootInstant::now()) >= Some(SUSPENDED));
}

#[test]
fn the_time_of_the_table_goes_on() {
    let mut clock = TableClock::default();
    clock.record(1_000, BootInstant::now());
    suspend_thread(SUSPENDED);
    let now_ms = clock.at(BootInstant::now()).expect("it was told");
    assert!((6_000..6_500).contains(&now_ms), "{now_ms}");
}

#[test]
fn a_lease_that_ran_out_meanwhile_is_not_confirmed() {
    let (_sender, confirmed_at) = watch::channel(BootInstant::now());
    let term = Term {
        resource: LeaseResource::UsageReports,
        epoch: Epoch(1),
        fence: RowVersion(1),
        releasing: CancellationToken::new(),
        ended: CancellationToken::new(),
        confirmed_at,
    };
    let lease = Duration::from_millis(1_500);
    assert!(term.is_confirmed_within(lease));
    suspend_thread(SUSPENDED);
    assert!(!term.is_confirmed_within(lease));
}

#[test]
fn a_window_for_orders_is_over() {
    let window = OrderWindow::open_for(Duration::from_secs(2));
    assert!(window.is_open());
    suspend_thread(SUSPENDED);
    assert!(!window.is_open());
}

#[test]
fn an_evacuation_was_withdrawn_so_much_longer_ago() {
    let zone = ZoneName::from("zone-a");
    let mut evacuations = Evacuations::default();
    evacuations.replace(BTreeSet::from([zone.clone()]));
    evacuations.replace(BTreeSet::new());
    suspend_thread(SUSPENDED);
    let withdrawn_at = evacuations.withdrawn_at(&zone).expect("it was withdrawn");
    assert!(withdrawn_at.elapsed() >= SUSPENDED);
}

#[tokio::test]
async fn beliefs_from_before_a_suspension_are_not_acted_on() {
    let (asked, taken_in) = watch::channel(Some(BootInstant::now()));
    let guard = SuspensionGuard::start([taken_in]);
    assert!(guard.is_settled());
    suspend_thread(SUSPENDED);
    assert!(!guard.is_settled(), "before the first send after it wakes");
    asked.send_replace(Some(BootInstant::now() + Duration::from_millis(1)));
    assert!(guard.is_settled());
}

/// Modules of the log, which decide nothing: lines a second, and when a line was written.
const STEADY: [&str; 2] = ["events/rate_limiter.rs", "events/writer.rs"];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => sources(&path, found),
            false => found.push(path),
        }
    }
}

#[test]
fn no_module_uses_the_bare_clock() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    sources(&root, &mut found);
    assert!(found.len() > 100);
    for path in found {
        let name = path.strip_prefix(&root).expect("below").to_string_lossy();
        let is_test = name.contains("tests");
        if is_test || STEADY.contains(&name.as_ref()) {
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source");
        let bare = [
            "time::Instant",
            " Instant::now",
            "(Instant::now",
            "SystemTime::now",
        ];
        for clock in bare {
            let is_wall_clock = clock.starts_with("SystemTime") && name == "usage/wall_clock.rs";
            assert!(is_wall_clock || !text.contains(clock), "{name}: {clock}");
        }
    }
}
