use super::{allowed, for_batch};
use serde_json::{Value, json};
use sloetrail_batch::Submission;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{AllowedRegions, RegionName};

const KEY: &str = "0123456789";

fn route(path: &str, regions: &[&str]) -> Value {
    json!({"name": path, "host": "a.example", "path_prefix": path, "kind": "idempotent",
           "service": "one", "allowed_regions": regions})
}

fn configuration() -> ServingConfiguration {
    let configuration = json!({
        "version": 1,
        "routes": [route("/n/", &["north"]), route("/s/", &["south"]), route("/any/", &[])],
        "tenants": [{"name": "t", "api_keys": [KEY], "allowed_regions": ["north", "east"]}],
    });
    ServingConfiguration::parse(configuration.to_string().as_bytes()).expect("valid")
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().copied().map(RegionName::from))
}

#[test]
fn only_common_regions_of_route_and_tenant_are_allowed() {
    let configuration = configuration();
    let route = |path| configuration.routes.find("a.example", path).expect("found");
    let tenants = configuration.tenants.as_ref().expect("given");
    let tenant = Some(&**tenants.find_by_key(KEY).expect("known"));
    assert_eq!(allowed(route("/n/"), tenant), Ok(only(&["north"])));
    assert_eq!(
        allowed(route("/any/"), tenant),
        Ok(only(&["east", "north"]))
    );
    assert_eq!(
        allowed(route("/any/"), None),
        Ok(AllowedRegions::everywhere())
    );
    let refusal = allowed(route("/s/"), tenant).expect_err("no common region");
    assert_eq!((refusal.code, refusal.status), (1112, 503));
    assert!(refusal.retry_after_ms.is_some_and(|time| time > 0));
    assert!(refusal.detail.contains("south") && refusal.detail.contains("east+north"));
}

#[test]
fn reward_routes_restrict_the_regions_of_a_batch() {
    let configuration = configuration();
    let stored_in = |caller_regions: &AllowedRegions, paths: &[&str]| {
        let item = |(number, path): (usize, &&str)| {
            json!({"id": format!("i{number}"), "path": "/r/", "reward":
                   {"id": format!("r{number}"), "host": "a.example", "path": path}})
        };
        let items: Vec<Value> = paths.iter().enumerate().map(item).collect();
        let submission = json!({"items": items}).to_string();
        let submission = Submission::parse(submission.as_bytes()).expect("valid");
        for_batch(&configuration, caller_regions, &submission)
    };
    let everywhere = AllowedRegions::everywhere();
    assert_eq!(stored_in(&everywhere, &["/any/1", "/unknown/"]), everywhere);
    assert_eq!(
        stored_in(&everywhere, &["/any/1", "/n/1?x=y"]),
        only(&["north"])
    );
    let two = only(&["north", "south"]);
    assert_eq!(stored_in(&two, &["/s/1"]), only(&["south"]));
    assert_eq!(
        stored_in(&two, &["/s/1", "/n/1"]),
        only(&["south"]),
        "a route that would leave no region is ignored"
    );
}

#[test]
fn configuration_lists_routes_and_tenants_without_common_region() {
    let configuration = configuration();
    let pairs = configuration.region_conflicts();
    let pairs: Vec<(&str, &str)> = pairs
        .map(|(route, tenant)| (route.name.as_str(), tenant.name.as_str()))
        .collect();
    assert_eq!(pairs, [("/s/", "t")]);
}
