use super::{ALL_ROWS, INITIAL_ROWS, SubsetDemand, has_enough_of};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use sloetrail_types::{EngineId, ServiceName, Topology, ZoneName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn target_rows(demand: &SubsetDemand) -> usize {
    *demand.target_rows().borrow()
}

/// Many requests may find no free slot before the directory is read again.
#[test]
fn demand_doubles_at_most_once_per_read() {
    let demand = SubsetDemand::default();
    demand.demand_more();
    assert_eq!(
        target_rows(&demand),
        INITIAL_ROWS,
        "the directory was not read yet"
    );
    demand.record_read(INITIAL_ROWS, false);
    for _ in 0..100 {
        demand.demand_more();
    }
    assert_eq!(target_rows(&demand), 2 * INITIAL_ROWS);
}

#[test]
fn demand_does_not_exceed_the_whole_directory() {
    let demand = SubsetDemand::default();
    demand.record_read(INITIAL_ROWS, true);
    demand.demand_more();
    assert_eq!(target_rows(&demand), INITIAL_ROWS);
    demand.demand_all();
    demand.record_read(ALL_ROWS, false);
    demand.demand_more();
    assert_eq!(target_rows(&demand), ALL_ROWS);
}

/// A directory with `count` applications in each zone, of which the first `leaving` are draining.
fn directory(zones: &[(&str, usize)], leaving: usize) -> Directory {
    let mut directory = Directory::default();
    for (zone, count) in zones {
        for number in 0..*count {
            let id = EngineId::new(format!("{zone}-{number}"));
            let back_end = BackEnd {
                id: id.clone(),
                instance: id.as_str().to_owned(),
                started_ms: None,
                service: ServiceName::from("apps"),
                address: "127.0.0.1:1".parse().expect("valid address"),
                zone: ZoneName::from(*zone),
                slots: 6,
                draining: number < leaving,
                cold_remaining: Duration::ZERO,
                versions: BTreeMap::new(),
                software: None,
            };
            directory.back_ends.insert(id, Arc::new(back_end));
        }
    }
    directory
}

fn is_enough(directory: &Directory) -> bool {
    let zone = ZoneName::from("near");
    let topology = Topology::new(zone, BTreeMap::new());
    has_enough_of(directory, &ServiceName::from("apps"), &topology)
}

#[test]
fn few_in_the_zone_or_many_elsewhere_suffice() {
    assert!(is_enough(&directory(&[("near", 8)], 0)));
    assert!(!is_enough(&directory(&[("near", 7), ("far", 50)], 0)));
    assert!(is_enough(&directory(&[("far", 64)], 0)));
    assert!(!is_enough(&directory(&[], 0)));
}

/// All known back ends of a zone may leave at once.
#[test]
fn leaving_back_ends_do_not_count() {
    assert!(!is_enough(&directory(&[("near", 20), ("far", 40)], 20)));
}
