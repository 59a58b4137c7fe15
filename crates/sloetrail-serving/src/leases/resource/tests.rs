use super::{BatchSet, LeaseResource};
use sloetrail_types::{AllowedRegions, RegionName, ServiceName};

fn lease_name(regions: AllowedRegions) -> String {
    let set = BatchSet::new(ServiceName::from("models"), regions);
    LeaseResource::Batches(set).name().to_owned()
}

#[test]
fn lease_name_is_derived_from_service_and_regions() {
    let only = |names: [&str; 2]| AllowedRegions::only(names.map(RegionName::from));
    assert_eq!(lease_name(AllowedRegions::everywhere()), "models");
    assert_eq!(lease_name(only(["south", "north"])), "models@north+south");
    let set = BatchSet::from_lease_name("models@north+south").expect("bound");
    assert_eq!(set.regions(), &only(["north", "south"]));
    assert_eq!(LeaseResource::Batches(set).name(), "models@north+south");
    let unbound = BatchSet::from_lease_name("models").expect("unbound");
    assert_eq!(unbound.regions(), &AllowedRegions::everywhere());
    assert_eq!(LeaseResource::Batches(unbound).name(), "models");
    let usage = LeaseResource::UsageReports;
    assert_eq!(BatchSet::from_lease_name(usage.name()), None);
    assert_eq!(
        lease_name(only(["north", "south"])),
        lease_name(only(["south", "north"]))
    );
}
