//! Validity periods and ages must include the time for which the machine was suspended. The
//! monotonic clock does not, so modules must not use it directly.

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
fn view_age_includes_a_suspension() {
    let mut view = TableView::empty();
    view.confirmed_at = Some(BootInstant::now());
    suspend_thread(SUSPENDED);
    assert!(view.age(BootInstant::now()) >= Some(SUSPENDED));
}

#[test]
fn table_clock_includes_a_suspension() {
    let mut clock = TableClock::default();
    clock.record(1_000, BootInstant::now());
    suspend_thread(SUSPENDED);
    let now_ms = clock
        .at(BootInstant::now())
        .expect("the clock has a sample");
    assert!((6_000..6_500).contains(&now_ms), "{now_ms}");
}

#[test]
fn lease_that_expired_during_suspension_is_not_confirmed() {
    let (_sender, confirmed_at) = watch::channel(BootInstant::now());
    let term = Term {
        resource: LeaseResource::UsageReports,
        epoch: Epoch(1),
        fence: RowVersion(1),
        releasing: CancellationToken::new(),
        ended: CancellationToken::new(),
        failed: CancellationToken::new(),
        retired: CancellationToken::new(),
        confirmed_at,
    };
    let lease = Duration::from_millis(1_500);
    assert!(term.is_confirmed_within(lease));
    suspend_thread(SUSPENDED);
    assert!(!term.is_confirmed_within(lease));
}

#[test]
fn order_window_closes_during_a_suspension() {
    let window = OrderWindow::open_for(Duration::from_secs(2));
    assert!(window.is_open());
    suspend_thread(SUSPENDED);
    assert!(!window.is_open());
}

#[test]
fn time_since_evacuation_withdrawal_includes_a_suspension() {
    let zone = ZoneName::from("zone-a");
    let mut evacuations = Evacuations::default();
    evacuations.replace(BTreeSet::from([zone.clone()]));
    evacuations.replace(BTreeSet::new());
    suspend_thread(SUSPENDED);
    let withdrawn_at = evacuations
        .withdrawn_at(&zone)
        .expect("the evacuation was withdrawn");
    assert!(withdrawn_at.elapsed() >= SUSPENDED);
}

#[tokio::test]
async fn views_from_before_a_suspension_are_not_used() {
    let (requested, applied) = watch::channel(Some(BootInstant::now()));
    let guard = SuspensionGuard::start([applied]);
    assert!(guard.is_settled());
    suspend_thread(SUSPENDED);
    assert!(
        !guard.is_settled(),
        "settled without a new view after the suspension"
    );
    requested.send_replace(Some(BootInstant::now() + Duration::from_millis(1)));
    assert!(guard.is_settled());
}

/// Modules that may use the monotonic or wall clock, because they only limit or date log lines.
const CLOCK_EXCEPTIONS: [&str; 2] = ["events/rate_limiter.rs", "events/writer.rs"];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => collect_sources(&path, found),
            false => found.push(path),
        }
    }
}

#[test]
fn modules_use_only_suspension_aware_clocks() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    collect_sources(&root, &mut found);
    assert!(found.len() > 100);
    for path in found {
        let name = path.strip_prefix(&root).expect("below").to_string_lossy();
        let is_test = name.contains("tests");
        if is_test || CLOCK_EXCEPTIONS.contains(&name.as_ref()) {
            continue;
        }
        let text = fs::read_to_string(&path).expect("a source");
        let forbidden = [
            "time::Instant",
            " Instant::now",
            "(Instant::now",
            "SystemTime::now",
        ];
        for clock in forbidden {
            let is_wall_clock = clock.starts_with("SystemTime") && name == "usage/wall_clock.rs";
            assert!(is_wall_clock || !text.contains(clock), "{name}: {clock}");
        }
    }
}
