use super::{ABANDONED_BATCH_RETENTION, MAX_BATCHES_PER_SWEEP, expired_batches};
use crate::batch_rows::encode_header;
use crate::directory_index::KeyRanges;
use crate::follow::TableView;
use crate::leases::BatchSet;
use crate::rows;
use crate::table::Row;
use sloetrail_batch::BatchHeader;
use sloetrail_types::{
    AllowedRegions, RegionName, RowVersion, ServiceName, TimeSpan, Timestamp, WeightVersion,
    whole_millis,
};
use std::time::Duration;

const MIN_RETENTION: Duration = Duration::from_secs(10);

fn north() -> AllowedRegions {
    AllowedRegions::only([RegionName::from("north")])
}

fn header(service: &str, allowed_regions: AllowedRegions) -> BatchHeader {
    BatchHeader {
        service: ServiceName::from(service),
        host: "a.example".to_owned(),
        total: 8,
        body_rows: 1,
        accepted_at: Timestamp(1_000),
        max_attempts: 1,
        retention: TimeSpan::default(),
        single_version: false,
        run_target: TimeSpan::default(),
        priority: 5,
        tenant: None,
        tenant_priority: None,
        allowed_regions,
        model: None,
        oldest_version: WeightVersion(0),
    }
}

fn view(headers: &[(&str, BatchHeader)]) -> TableView {
    let rows = headers.iter().map(|(id, header)| {
        let row = Row {
            address: rows::batch(id),
            value: encode_header(header),
            version: RowVersion(1),
        };
        ((*id).to_owned(), row)
    });
    TableView {
        ranges: KeyRanges::all_keys(),
        rows: rows.collect(),
        version: RowVersion(1),
        confirmed_at: None,
        requested_at: None,
        interruptions: 0,
    }
}

#[test]
fn owner_deletes_only_batches_of_its_set() {
    let batches = view(&[
        ("free", header("models", AllowedRegions::everywhere())),
        ("bound", header("models", north())),
        ("other-service", header("others", north())),
    ]);
    let swept = |regions: AllowedRegions, now_ms: u64| {
        let set = BatchSet::new(ServiceName::from("models"), regions);
        let ids = expired_batches(&batches, &batches, &set, Timestamp(now_ms), MIN_RETENTION);
        ids.into_iter().cloned().collect::<Vec<String>>()
    };
    // Batches are retained for an additional minute.
    let expired_at_ms = 1_000 + 60_001;
    assert_eq!(swept(AllowedRegions::everywhere(), expired_at_ms), ["free"]);
    assert_eq!(swept(north(), expired_at_ms), ["bound"]);
    assert!(
        swept(north(), 1_000 + whole_millis(MIN_RETENTION)).is_empty(),
        "not yet"
    );
}

/// Guards against an open batch that is deleted with its results while its trainer still reads it.
#[test]
fn open_batches_are_kept_until_they_are_abandoned() {
    let batches = view(&[
        ("open", header("models", north())),
        ("ended", header("models", north())),
    ]);
    let ends = view(&[("ended", header("models", north()))]);
    let set = BatchSet::new(ServiceName::from("models"), north());
    let swept = |age: Duration| {
        let now = Timestamp(1_000).after(age);
        let ids = expired_batches(&batches, &ends, &set, now, MIN_RETENTION);
        ids.into_iter().cloned().collect::<Vec<String>>()
    };
    assert_eq!(swept(ABANDONED_BATCH_RETENTION), ["ended"]);
    let later = ABANDONED_BATCH_RETENTION + Duration::from_secs(1);
    assert_eq!(swept(later), ["ended", "open"]);
}

#[test]
fn sweep_is_limited_to_few_batches() {
    let many: Vec<String> = (0..MAX_BATCHES_PER_SWEEP * 2)
        .map(|id| id.to_string())
        .collect();
    let headers = many
        .iter()
        .map(|id| (id.as_str(), header("models", north())));
    let batches = view(&headers.collect::<Vec<_>>());
    let set = BatchSet::new(ServiceName::from("models"), north());
    let swept = expired_batches(&batches, &batches, &set, Timestamp(u64::MAX), MIN_RETENTION);
    assert_eq!(swept.len(), MAX_BATCHES_PER_SWEEP);
}
