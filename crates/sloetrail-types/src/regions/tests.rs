use crate::{AllowedRegions, Distance, RegionName, Topology, ZoneName};

fn topology() -> Topology {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions = regions.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    Topology::new(ZoneName::from("a1"), regions.into())
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().copied().map(RegionName::from))
}

#[test]
fn zones_of_the_own_region_are_nearer() {
    let topology = topology();
    let distance = |zone| topology.distance(&ZoneName::from(zone));
    assert_eq!(distance("a1"), Distance::SameZone);
    assert_eq!(distance("a2"), Distance::SameRegion);
    assert_eq!(distance("b1"), Distance::Elsewhere);
    assert_eq!(distance("unknown"), Distance::Elsewhere);
    assert!(distance("a1") < distance("a2") && distance("a2") < distance("b1"));
}

#[test]
fn zones_without_regions_count_as_one_region() {
    let topology = Topology::of_zone(ZoneName::from("a1"));
    let distance = topology.distance(&ZoneName::from("a2"));
    assert_eq!(distance, Distance::SameRegion);
    assert!(topology.allows(&AllowedRegions::everywhere(), &ZoneName::from("a2")));
    assert!(!topology.allows(&only(&["a"]), &ZoneName::from("a1")));
}

#[test]
fn restrictions_combine_by_intersection() {
    let both = only(&["a", "b"]).and(&only(&["b", "c"]));
    assert_eq!(both, only(&["b"]));
    assert_eq!(AllowedRegions::everywhere().and(&both), both);
    assert_eq!(both.and(&AllowedRegions::everywhere()), both);
    let none = both.and(&only(&["a"]));
    assert!(none.is_nowhere() && !none.allows(Some(&RegionName::from("a"))));
    assert!(!both.is_nowhere() && !AllowedRegions::everywhere().is_nowhere());
}

#[test]
fn unknown_region_is_allowed_only_without_restriction() {
    assert!(AllowedRegions::everywhere().allows(None));
    assert!(!only(&["a"]).allows(None));
    assert!(topology().allows(&only(&["b"]), &ZoneName::from("b1")));
    assert!(!topology().allows(&only(&["b"]), &ZoneName::from("a1")));
}

#[test]
fn regions_are_displayed_in_sorted_order() {
    assert_eq!(only(&["b", "a"]).to_string(), "a+b");
    assert_eq!(AllowedRegions::everywhere().to_string(), "everywhere");
    assert_eq!(only(&[]).to_string(), "nowhere");
}
