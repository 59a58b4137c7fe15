use super::{ALL, ROWS_AT_FIRST, SubsetDemand, has_enough_of};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use sloetrail_types::{EngineId, ServiceName, Topology, ZoneName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn wanted(interest: &SubsetDemand) -> usize {
    *interest.wanted().borrow()
}

/// Many requests find no place in the moment before the directory is read again.
#[test]
fn more_is_wanted_once_for_each_time_that_the_directory_was_read() {
    let interest = SubsetDemand::default();
    interest.demand_more();
    assert_eq!(wanted(&interest), ROWS_AT_FIRST, "nothing was read so far");
    interest.grant(ROWS_AT_FIRST, false);
    for _ in 0..100 {
        interest.demand_more();
    }
    assert_eq!(wanted(&interest), 2 * ROWS_AT_FIRST);
}

#[test]
fn there_is_no_more_than_all() {
    let interest = SubsetDemand::default();
    interest.grant(ROWS_AT_FIRST, true);
    interest.demand_more();
    assert_eq!(wanted(&interest), ROWS_AT_FIRST);
    interest.demand_all();
    interest.grant(ALL, false);
    interest.demand_more();
    assert_eq!(wanted(&interest), ALL);
}

/// A directory with so many applications in each of these zones, the first of which leave.
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
                address: "127.0.0.1:1".parse().expect("an address"),
                zone: ZoneName::from(*zone),
                slots: 6,
                draining: number < leaving,
                cold_left: Duration::ZERO,
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
fn a_few_in_the_zone_or_many_anywhere_are_enough() {
    assert!(is_enough(&directory(&[("near", 8)], 0)));
    assert!(!is_enough(&directory(&[("near", 7), ("far", 50)], 0)));
    assert!(is_enough(&directory(&[("far", 64)], 0)));
    assert!(!is_enough(&directory(&[], 0)));
}

/// All that a node holds may leave at once.
#[test]
fn those_that_leave_do_not_count() {
    assert!(!is_enough(&directory(&[("near", 20), ("far", 40)], 20)));
}
