use super::ColdBudgets;
use sloetrail_types::{AllowedRegions, RegionName};

#[test]
fn a_back_end_is_shared_by_live_requests_and_the_owners_that_may_use_its_region() {
    let only = |names: &[&str]| AllowedRegions::only(names.iter().copied().map(RegionName::from));
    let budgets = ColdBudgets {
        bears: 8.0,
        most: 17.0,
        owners: [
            AllowedRegions::everywhere(),
            only(&["north"]),
            only(&["north", "south"]),
        ]
        .into(),
        has_live_requests: true,
    };
    let ways = |region: Option<&str>| {
        let region = region.map(RegionName::from);
        budgets.of_region(region.as_ref()).ways
    };
    assert_eq!(ways(Some("north")), 4);
    assert_eq!(ways(Some("south")), 3);
    assert_eq!(ways(Some("east")), 2);
    assert_eq!(ways(None), 2, "nothing that is bound goes there");
    assert_eq!(budgets.of_region(None).bears, 8.0);
}
