use super::{
    DEMAND_VALIDITY, DemandReporter, DemandRow, MIN_REPORT_INTERVAL, ReceivedDemands, SlotDemand,
    StoredDemand,
};
use crate::follow::TableView;
use crate::rows;
use crate::table::Row;
use bytes::Bytes;
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, RegionName, RowVersion, ServiceName};
use std::time::Duration;

const NAME: &str = "models@north";
const AT_MS: u64 = 100_000;

fn north() -> AllowedRegions {
    AllowedRegions::only([RegionName::from("north")])
}

fn demand(busy: usize) -> SlotDemand {
    SlotDemand {
        busy,
        wanted: busy,
        step_percent: None,
    }
}

fn row(demand: SlotDemand, epoch: u64, at_ms: u64) -> DemandRow {
    DemandRow {
        demand,
        epoch,
        at_ms,
    }
}

fn put(view: &mut TableView, name: &str, version: u64, value: Bytes) {
    let address = rows::slot_demand(name);
    let row = Row {
        address: address.clone(),
        value,
        version: RowVersion(version),
    };
    view.rows.insert(address.key, row);
}

fn receive(rows: &[(&str, DemandRow)]) -> ReceivedDemands {
    let mut view = TableView::empty();
    for (name, row) in rows {
        put(&mut view, name, 1, row.encode());
    }
    let mut received = ReceivedDemands::default();
    received.apply_view(&view, &ServiceName::from("models"), AT_MS);
    received
}

fn due(
    reporter: &mut DemandReporter,
    now: BootInstant,
    now_ms: u64,
    stored: StoredDemand,
) -> Option<SlotDemand> {
    let is_due = reporter.is_due(now);
    is_due
        .then(|| reporter.end_period(now, now_ms, stored))
        .flatten()
}

fn after(time: Duration) -> u64 {
    AT_MS + time.as_millis() as u64
}

fn known(row: Option<DemandRow>) -> StoredDemand {
    row.map_or(StoredDemand::Absent, StoredDemand::Row)
}

fn busy(received: &ReceivedDemands, now_ms: u64) -> usize {
    received
        .bound_work(now_ms)
        .values()
        .map(|work| work.busy_slots)
        .sum()
}

#[test]
fn rows_are_written_on_change_and_before_expiry() {
    let started_at = BootInstant::now();
    let mut reporter = DemandReporter::new(started_at);
    let mut stored: Option<DemandRow> = None;
    let mut written = Vec::new();
    for tick in 0..400_u64 {
        let at = Duration::from_millis(tick * 100);
        let running = if (50..250).contains(&tick) { 7 } else { 0 };
        reporter.record(running, running);
        let now_ms = after(at);
        if let Some(demand) = due(&mut reporter, started_at + at, now_ms, known(stored)) {
            reporter.record_write(true);
            stored = Some(row(demand, 1, now_ms));
            written.push((tick, demand));
        }
        let received = receive(
            &stored
                .map(|row| (NAME, row))
                .into_iter()
                .collect::<Vec<_>>(),
        );
        let is_known = tick < 50 + 20 || running == 0 || busy(&received, now_ms) > 0;
        assert!(is_known, "{tick}: {written:?}");
    }
    let gaps = written.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(gaps.min() >= Some(20), "{written:?}");
    assert!(written.len() <= 8, "{written:?}");
    assert_eq!(
        written[0].1.wanted, 7,
        "no row is written before there is work"
    );
    let last = written.last().expect("some").1;
    assert!(last.is_idle(), "{written:?}");
}

#[test]
fn a_new_owner_replaces_the_previous_row_after_one_period() {
    let started_at = BootInstant::now();
    let mut reporter = DemandReporter::new(started_at);
    let stored = StoredDemand::Row(row(demand(9), 4, AT_MS));
    reporter.record(0, 0);
    let early = started_at + MIN_REPORT_INTERVAL / 2;
    assert_eq!(due(&mut reporter, early, AT_MS, stored), None);
    let first = due(
        &mut reporter,
        started_at + MIN_REPORT_INTERVAL,
        AT_MS,
        stored,
    );
    assert_eq!(first, Some(SlotDemand::default()));
    let again = started_at + MIN_REPORT_INTERVAL * 3;
    assert_eq!(due(&mut reporter, again, AT_MS, stored), None, "in flight");
}

#[test]
fn an_idle_owner_overwrites_only_unreadable_rows() {
    let started_at = BootInstant::now();
    let idle = SlotDemand::default();
    let later = started_at + MIN_REPORT_INTERVAL;
    let late = after(DEMAND_VALIDITY * 10);
    let report = |stored| due(&mut DemandReporter::new(started_at), later, late, stored);
    assert_eq!(report(StoredDemand::Unreadable), Some(idle));
    assert_eq!(report(StoredDemand::Absent), None);
    assert_eq!(report(StoredDemand::Row(row(idle, 1, AT_MS))), None);
}

#[test]
fn a_step_is_reported_again_only_after_a_failed_write() {
    let started_at = BootInstant::now();
    let mut reporter = DemandReporter::new(started_at);
    reporter.record(3, 3);
    reporter.record_step(0.5);
    reporter.record_step(1.021);
    let first = due(
        &mut reporter,
        started_at + MIN_REPORT_INTERVAL,
        AT_MS,
        StoredDemand::Absent,
    );
    assert_eq!(first.and_then(|demand| demand.step_percent), Some(103));
    reporter.record_write(false);
    reporter.record(3, 3);
    let second = due(
        &mut reporter,
        started_at + MIN_REPORT_INTERVAL * 2,
        AT_MS,
        StoredDemand::Absent,
    );
    assert_eq!(second.and_then(|demand| demand.step_percent), Some(103));
    reporter.record_write(true);
    reporter.record(3, 3);
    let third = due(
        &mut reporter,
        started_at + MIN_REPORT_INTERVAL * 3,
        AT_MS,
        StoredDemand::Absent,
    );
    assert_eq!(third.and_then(|demand| demand.step_percent), None);
}

#[test]
fn rows_expire_but_not_during_a_table_outage() {
    let mut received = receive(&[(NAME, row(demand(5), 1, AT_MS))]);
    let just = Duration::from_millis(1);
    assert_eq!(busy(&received, after(DEMAND_VALIDITY)), 5);
    assert_eq!(busy(&received, after(DEMAND_VALIDITY + just)), 0);
    assert!(!received.covers(&north(), AT_MS, after(DEMAND_VALIDITY + just)));
    received.record_table_outage(after(DEMAND_VALIDITY));
    assert_eq!(busy(&received, after(DEMAND_VALIDITY * 2)), 5);
    assert_eq!(busy(&received, after(DEMAND_VALIDITY * 2 + just)), 0);
}

#[test]
fn an_idle_row_does_not_cover_later_batches() {
    let received = receive(&[(NAME, row(SlotDemand::default(), 1, AT_MS))]);
    let late = after(DEMAND_VALIDITY * 10);
    assert!(received.covers(&north(), AT_MS, late));
    assert!(!received.covers(&north(), AT_MS + 1, late));
}

#[test]
fn a_later_owners_row_replaces_the_earlier_one() {
    let service = ServiceName::from("models");
    let mut view = TableView::empty();
    let mut received = ReceivedDemands::default();
    put(&mut view, NAME, 1, row(demand(5), 1, AT_MS).encode());
    received.apply_view(&view, &service, AT_MS);
    let late = SlotDemand {
        step_percent: Some(120),
        ..demand(2)
    };
    put(&mut view, NAME, 2, row(late, 2, AT_MS).encode());
    let steps = received.apply_view(&view, &service, AT_MS);
    assert_eq!(steps.len(), 1);
    assert!((steps[0].share - 1.2).abs() < 1e-9);
    assert!(
        received.apply_view(&view, &service, AT_MS).is_empty(),
        "a step is returned once"
    );
    assert_eq!(busy(&received, AT_MS), 2);
}

#[test]
fn expired_rows_report_no_steps_to_a_new_owner() {
    let mut view = TableView::empty();
    let late = SlotDemand {
        step_percent: Some(120),
        ..demand(2)
    };
    put(&mut view, NAME, 1, row(late, 1, AT_MS).encode());
    let now_ms = after(DEMAND_VALIDITY * 2);
    let mut received = ReceivedDemands::default();
    let steps = received.apply_view(&view, &ServiceName::from("models"), now_ms);
    assert!(steps.is_empty(), "{steps:?}");
}

#[test]
fn unreadable_rows_and_rows_of_other_services_are_ignored() {
    let service = ServiceName::from("models");
    let mut view = TableView::empty();
    let encoded = row(demand(5), 1, AT_MS).encode();
    put(&mut view, "others@north", 1, encoded.clone());
    put(&mut view, NAME, 1, encoded);
    let mut received = ReceivedDemands::default();
    received.apply_view(&view, &service, AT_MS);
    assert_eq!(busy(&received, AT_MS), 5);
    put(&mut view, NAME, 2, Bytes::from_static(b"?"));
    received.apply_view(&view, &service, AT_MS);
    assert_eq!(busy(&received, AT_MS), 0);
    assert!(!received.covers(&north(), 0, AT_MS));
}

#[test]
fn an_expired_row_stays_expired_after_a_table_outage() {
    let mut received = receive(&[(NAME, row(demand(5), 1, AT_MS))]);
    let outage_at_ms = after(DEMAND_VALIDITY * 10);
    assert_eq!(busy(&received, outage_at_ms), 0);
    received.record_table_outage(outage_at_ms);
    assert_eq!(
        busy(&received, outage_at_ms),
        0,
        "its owner stopped writing before the outage"
    );
    assert!(!received.covers(&north(), AT_MS, outage_at_ms));
}

#[test]
fn an_expired_row_reports_no_step_after_a_table_outage() {
    let mut view = TableView::empty();
    let late = SlotDemand {
        step_percent: Some(120),
        ..demand(2)
    };
    put(&mut view, NAME, 1, row(late, 1, AT_MS).encode());
    let outage_at_ms = after(DEMAND_VALIDITY * 10);
    let mut received = ReceivedDemands::default();
    received.record_table_outage(outage_at_ms);
    let steps = received.apply_view(&view, &ServiceName::from("models"), outage_at_ms);
    assert!(steps.is_empty(), "{steps:?}");
    assert_eq!(busy(&received, outage_at_ms), 0);
}
