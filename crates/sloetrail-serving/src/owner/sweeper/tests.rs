use super::{BATCHES_A_ROUND, past_their_time};
use crate::batch_rows::encode_header;
use crate::directory_index::KeyRanges;
use crate::follow::TableView;
use crate::leases::BatchSet;
use crate::rows;
use crate::table::Row;
use sloetrail_batch::BatchHeader;
use sloetrail_types::{AllowedRegions, RegionName, RowVersion, ServiceName, WeightVersion};

const KEPT_MS: u64 = 10_000;

fn north() -> AllowedRegions {
    AllowedRegions::only([RegionName::from("north")])
}

fn head(service: &str, allowed_regions: AllowedRegions) -> BatchHeader {
    BatchHeader {
        service: ServiceName::from(service),
        host: "a.example".to_owned(),
        total: 8,
        body_rows: 1,
        accepted_at_ms: 1_000,
        max_attempts: 1,
        retention_ms: 0,
        single_version: false,
        run_target_ms: 0,
        priority: 5,
        tenant: None,
        tenant_priority: None,
        allowed_regions,
        model: None,
        oldest_version: WeightVersion(0),
    }
}

fn view(heads: &[(&str, BatchHeader)]) -> TableView {
    let rows = heads.iter().map(|(id, head)| {
        let row = Row {
            address: rows::batch(id),
            value: encode_header(head),
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
fn each_owner_deletes_the_batches_of_its_own_set_alone() {
    let batches = view(&[
        ("free", head("models", AllowedRegions::everywhere())),
        ("bound", head("models", north())),
        ("other-service", head("others", north())),
    ]);
    let swept = |regions: AllowedRegions, now_ms: u64| {
        let set = BatchSet::new(ServiceName::from("models"), regions);
        let ids = past_their_time(&batches, &set, now_ms, KEPT_MS);
        ids.into_iter().cloned().collect::<Vec<String>>()
    };
    // A minute is kept on top for readers.
    let late = 1_000 + 60_001;
    assert_eq!(swept(AllowedRegions::everywhere(), late), ["free"]);
    assert_eq!(swept(north(), late), ["bound"]);
    assert!(swept(north(), 1_000 + KEPT_MS).is_empty(), "not yet");
}

#[test]
fn a_round_is_small() {
    let many: Vec<String> = (0..BATCHES_A_ROUND * 2).map(|id| id.to_string()).collect();
    let heads = many.iter().map(|id| (id.as_str(), head("models", north())));
    let batches = view(&heads.collect::<Vec<_>>());
    let set = BatchSet::new(ServiceName::from("models"), north());
    let swept = past_their_time(&batches, &set, u64::MAX, KEPT_MS);
    assert_eq!(swept.len(), BATCHES_A_ROUND);
}
