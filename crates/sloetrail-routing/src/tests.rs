use crate::{ColdBounds, ConfigurationError, RouteKind, ServingConfiguration, WeightedChoice};
use serde_json::{Value, json};
use sloetrail_types::{AllowedRegions, RegionName, ServiceName, TimeSpan, bounded};
use std::collections::BTreeMap;
use std::time::Duration;

fn parse(value: &Value) -> Result<ServingConfiguration, ConfigurationError> {
    ServingConfiguration::parse(value.to_string().as_bytes())
}

fn route(prefix: &str, service: &str) -> Value {
    json!({"name": prefix, "host": "a.example", "path_prefix": prefix,
           "kind": "idempotent", "service": service})
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let configuration = parse(&json!({
        "version": 3,
        "routes": [route("/a/", "one"), route("/a/b/", "two")],
        "unknown": true,
    }))
    .expect("sound");
    let service = |host: &str, path: &str| {
        let route = configuration.routes.find(host, path)?;
        Some(route.services[0].service.as_str().to_owned())
    };
    assert_eq!(service("a.example", "/a/x").as_deref(), Some("one"));
    assert_eq!(service("A.example:80", "/a/b/x").as_deref(), Some("two"));
    assert_eq!(service("a.example", "/a/b").as_deref(), Some("one"));
    assert_eq!(service("a.example", "/c/"), None);
    assert_eq!(service("b.example", "/a/x"), None);
}

#[test]
fn services_of_rollout_routes_need_an_owner() {
    let mut rollout = route("/r/", "models");
    rollout["kind"] = json!("rollout");
    rollout["run_target_ms"] = json!(7500);
    let configuration = parse(&json!({
        "version": 1, "routes": [route("/a/", "one"), rollout]
    }))
    .expect("sound");
    let names = configuration.rollout_services();
    assert_eq!(names.len(), 1);
    assert_eq!(names[0].as_str(), "models");
    let route = configuration
        .routes
        .find("a.example", "/r/1")
        .expect("found");
    assert_eq!(route.kind, RouteKind::Rollout);
    assert_eq!(route.run_target.as_millis(), 7500);
}

#[test]
fn invalid_routes_are_rejected_with_their_name() {
    let mut unknown_kind = route("/a/", "one");
    unknown_kind["kind"] = json!("sometimes");
    let mut no_service = route("/a/", "one");
    no_service
        .as_object_mut()
        .expect("object")
        .remove("service");
    let mut invalid_weights = no_service.clone();
    invalid_weights["weighted_backends"] = json!([{"service": "one", "weight": 0}]);
    for invalid in [
        unknown_kind,
        no_service,
        invalid_weights,
        route("/a", "one"),
    ] {
        let error = parse(&json!({"version": 1, "routes": [invalid]})).expect_err("refused");
        assert!(error.to_string().contains("/a"), "{error}");
    }
    assert!(ServingConfiguration::parse(b"{").is_err());
}

#[test]
fn weighted_shares_are_met_after_few_requests() {
    let mut split = route("/a/", "one");
    split["weighted_backends"] =
        json!([{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]);
    let configuration = parse(&json!({"version": 1, "routes": [split]})).expect("sound");
    let route = configuration
        .routes
        .find("a.example", "/a/")
        .expect("found");
    let mut choice = WeightedChoice::new(0.3);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..100 {
        let part = choice.next(&route.services).expect("one of two");
        *counts.entry(part.service.to_string()).or_default() += 1;
    }
    assert!((88..=92).contains(&counts["one"]), "{counts:?}");
}

#[test]
fn tenant_is_found_by_its_key() {
    let configuration = parse(&json!({"version": 1, "tenants": [
        {"name": "north", "api_keys": ["north-key-1", "north-key-2"], "priority": 1},
        {"name": "south", "api_keys": ["south-key-1"]},
    ]}))
    .expect("sound");
    let tenants = configuration.tenants.expect("named");
    let tenant = |key: &str| {
        let tenant = tenants.find_by_key(key)?;
        Some((tenant.name.as_str().to_owned(), tenant.priority))
    };
    assert_eq!(tenant("north-key-2"), Some(("north".to_owned(), Some(1))));
    assert_eq!(tenant("south-key-1"), Some(("south".to_owned(), None)));
    assert_eq!(tenant("south-key-2"), None);
    assert!(
        parse(&json!({"version": 1}))
            .expect("sound")
            .tenants
            .is_none()
    );
}

#[test]
fn duplicate_tenant_names_and_keys_are_rejected() {
    let rejected = |first: Value, second: Value| {
        let error = parse(&json!({"version": 1, "tenants": [first, second]}));
        error.expect_err("refused").to_string()
    };
    let key = "secret-key";
    let by_key = rejected(
        json!({"name": "north", "api_keys": [key]}),
        json!({"name": "south", "api_keys": [key]}),
    );
    assert!(
        by_key.contains("south") && !by_key.contains(key),
        "{by_key}"
    );
    let by_name = rejected(
        json!({"name": "north", "api_keys": []}),
        json!({"name": "north", "api_keys": []}),
    );
    assert!(by_name.contains("north"), "{by_name}");
}

#[test]
fn errors_and_debug_output_contain_no_keys() {
    let key = "secret-key";
    let invalid = [
        json!({"version": 1, "tenants": [{"name": "north", "api_keys": key}]}),
        json!({"version": 1, "tenants": [{"name": "north", "api_keys": [{key: 1}]}]}),
        json!({"version": 1, "tenants": [{key: "north", "api_keys": []}]}),
        json!({"version": 1, "tenants": key}),
    ];
    for configuration in &invalid {
        let error = parse(configuration).expect_err("refused");
        assert!(!format!("{error} {error:?}").contains(key), "{error}");
    }
    let valid = json!({"version": 1, "tenants": [{"name": "north", "api_keys": [key]}]});
    let shown = format!("{:?}", parse(&valid).expect("sound"));
    assert!(shown.contains("north") && !shown.contains(key), "{shown}");
}

#[test]
fn scaling_bounds_and_zone_prices_are_parsed() {
    let configuration = parse(&json!({"version": 1, "services": [
        {"name": "models", "scaling": {"min": 1, "max": 24, "boot_s": 4.0, "spot_price": 0.22,
                                       "zone_prices": {"a": 0.85, "b": 1.2}}},
        {"name": "application"},
        {"name": "odd", "scaling": {"min": 3, "max": 2, "boot_s": -1.0,
                                    "zone_prices": {"a": -1.0}}},
    ]}))
    .expect("sound");
    let scaling = |service: &str| configuration.services[&service.into()].scaling.clone();
    let models = scaling("models").expect("given");
    assert_eq!((models.min_per_zone, models.max_per_zone), (1, 24));
    assert_eq!(models.boot_time.as_secs(), 4);
    assert_eq!(models.zone_prices[&"b".into()], 1.2);
    assert_eq!(scaling("application"), None);
    let odd = scaling("odd").expect("given");
    assert_eq!(
        (odd.min_per_zone, odd.max_per_zone, odd.boot_time.as_secs()),
        (3, 3, 0)
    );
    assert!(odd.zone_prices.is_empty());
}

#[test]
fn unnamed_tenants_and_short_keys_are_rejected() {
    let rejected = |tenant: Value| {
        let error = parse(&json!({"version": 1, "tenants": [tenant]}));
        error.expect_err("refused").to_string()
    };
    let short = rejected(json!({"name": "north", "api_keys": ["seven77"]}));
    assert!(
        short.contains("north") && !short.contains("seven77"),
        "{short}"
    );
    let empty = rejected(json!({"name": "north", "api_keys": [""]}));
    assert!(empty.contains("north"), "{empty}");
    let unnamed = rejected(json!({"name": "", "api_keys": ["a-good-key"]}));
    assert!(unnamed.contains("empty name"), "{unnamed}");
}

#[test]
fn allowed_regions_are_parsed_and_empty_allows_all() {
    let mut restricted = route("/a/", "one");
    restricted["allowed_regions"] = json!(["north"]);
    let mut empty = route("/b/", "one");
    empty["allowed_regions"] = json!([]);
    let configuration = parse(&json!({
        "version": 1, "routes": [restricted, empty, route("/c/", "one")],
        "tenants": [{"name": "t", "api_keys": ["0123456789"],
                     "allowed_regions": ["north", "south"]}],
    }))
    .expect("sound");
    let regions = |path| {
        let route = configuration.routes.find("a.example", path).expect("found");
        route.allowed_regions.clone()
    };
    let north = AllowedRegions::only([RegionName::from("north")]);
    assert_eq!(regions("/a/"), north);
    assert!(regions("/b/").is_everywhere() && regions("/c/").is_everywhere());
    let tenants = configuration.tenants.as_ref().expect("given");
    let tenant = tenants.find_by_key("0123456789").expect("known");
    assert_eq!(tenant.allowed_regions.and(&north), north);
}

#[test]
fn cold_bounds_are_parsed_and_invalid_values_ignored() {
    let service = |name: &str, cold_s: f64, per_second: f64| json!({"name": name, "cold_s": cold_s, "cold_per_s": per_second});
    let configuration = parse(&json!({
        "version": 1, "routes": [route("/a/", "one")],
        "services": [service("one", 3.0, 7.9), service("two", 3.0, 0.0),
                     service("three", -1.0, -2.0), {"name": "four"}],
    }))
    .expect("sound");
    let bounds = |name| configuration.cold_bounds(&ServiceName::from(name));
    assert_eq!(bounds("one").cold_duration, Duration::from_secs(3));
    assert_eq!(bounds("one").per_second, Some(7.9));
    assert_eq!(
        (bounds("two").per_second, bounds("two").cold_duration),
        (None, Duration::from_secs(3))
    );
    for name in ["three", "four", "unknown"] {
        assert_eq!(bounds(name), ColdBounds::default());
    }
    assert!(configuration.has_live_requests(&ServiceName::from("one")));
    assert!(!configuration.has_live_requests(&ServiceName::from("two")));
}

#[test]
fn batch_regions_lists_every_possible_restriction() {
    let rollout = |path: &str, regions: Value| {
        let mut route = route(path, "models");
        route["kind"] = json!("rollout");
        route["allowed_regions"] = regions;
        route
    };
    let sets = |routes: Value, tenants: Value| {
        let configuration = json!({"version": 1, "routes": routes, "tenants": tenants});
        let configuration = parse(&configuration).expect("sound");
        let sets = configuration.batch_regions(&ServiceName::from("models"));
        let sets: Vec<String> = sets.iter().map(ToString::to_string).collect();
        sets.join(" ")
    };
    let tenants = json!([
        {"name": "t", "api_keys": ["0123456789"], "allowed_regions": ["north", "south"]},
        {"name": "u", "api_keys": ["9876543210"], "allowed_regions": ["east"]},
    ]);
    assert_eq!(sets(json!([route("/a/", "models")]), Value::Null), "");
    let unrestricted = rollout("/a/", Value::Null);
    assert_eq!(sets(json!([unrestricted]), Value::Null), "everywhere");
    let north = rollout("/b/", json!(["north"]));
    assert_eq!(
        sets(json!([north]), Value::Null),
        "everywhere north",
        "one owner must control the number of engines"
    );
    assert_eq!(
        sets(json!([unrestricted]), tenants.clone()),
        "everywhere east north+south"
    );
    assert_eq!(
        sets(json!([north]), tenants.clone()),
        "everywhere north",
        "an empty set of regions needs no owner"
    );
    let mut reward = route("/r/", "scores");
    reward["allowed_regions"] = json!(["south", "west"]);
    assert_eq!(
        sets(json!([unrestricted, reward]), tenants),
        "everywhere east north+south south"
    );
}

/// A configuration with every numeric field, all of them set to the same number.
fn all_numbers(number: &Value) -> Value {
    let live = json!({
        "name": "live", "host": "a.example", "path_prefix": "/a/", "kind": "idempotent",
        "weighted_backends": [{"service": "one", "weight": number},
                              {"service": "models", "weight": number}],
        "timeout_ms": number, "target_latency_ms": number, "priority": number,
        "max_attempts": number, "run_target_ms": number, "retain_s": number,
    });
    json!({
        "version": 7,
        "routes": [live],
        "services": [
            {"name": "one", "max_conns": number, "cold_s": number, "cold_per_s": number},
            {"name": "models", "max_conns": number,
             "engine": {"slots": number, "models": [{"name": "m"}]},
             "scaling": {"min": number, "max": number, "boot_s": number,
                         "zone_prices": {"a": number}}},
        ],
        "limits": {"max_header_bytes": number, "max_body_bytes": number,
                   "header_timeout_ms": number, "idle_timeout_ms": number},
        "tenants": [{"name": "north", "api_keys": ["north-key-1"], "priority": number}],
    })
}

/// Guards against conversions of large numbers that panic or turn them into small ones.
#[test]
fn numbers_above_their_maximum_are_held_at_it() {
    let large = [
        json!(u64::MAX),
        json!(i64::MAX),
        json!(1.844_674_407_370_955_2e19),
        json!(1e226),
        json!(f64::MAX),
    ];
    for number in large {
        let configuration = parse(&all_numbers(&number)).expect("in force");
        let ten_years = TimeSpan::MAX.duration();
        let route = configuration.routes.find("a.example", "/a/").expect("one");
        for time in [
            route.timeout,
            route.latency_target,
            route.run_target,
            route.retention,
            configuration.limits.header_timeout,
            configuration.limits.idle_timeout,
        ] {
            assert_eq!(time, ten_years, "{number}");
        }
        assert_eq!(route.max_attempts, bounded::MAX_COUNT, "{number}");
        assert_eq!(route.priority, u8::MAX, "{number}");
        let cold = configuration.cold_bounds(&"one".into());
        assert_eq!(cold.cold_duration, ten_years, "{number}");
        assert_eq!(cold.per_second, Some(bounded::MAX_RATE), "{number}");
        let models = &configuration.services[&"models".into()];
        assert_eq!(models.max_connections, bounded::MAX_COUNT, "{number}");
        let scaling = models.scaling.as_ref().expect("given");
        assert_eq!(scaling.max_per_zone, bounded::MAX_COUNT, "{number}");
        assert_eq!(scaling.boot_time, ten_years, "{number}");
        assert!(scaling.zone_prices[&"a".into()].is_finite(), "{number}");
        assert_eq!(configuration.limits.body_bytes, bounded::MAX_BYTES);
        let mut choice = WeightedChoice::new(0.3);
        assert!(choice.next(&route.services).is_some(), "{number}");
        assert_eq!(configuration.held_numbers.len(), 22, "{number}");
    }
}

#[test]
fn held_numbers_name_the_field_and_both_values() {
    let mut long = route("/a/", "one");
    long["name"] = json!("long");
    long["retain_s"] = json!(1e226);
    long["timeout_ms"] = json!(2_000);
    let configuration = parse(&json!({"version": 1, "routes": [long]})).expect("in force");
    let [held] = configuration.held_numbers.as_slice() else {
        panic!("{:?}", configuration.held_numbers);
    };
    assert_eq!(held.field, "route long: retain_s");
    assert_eq!(held.used, "315360000");
    assert!(held.given.starts_with('1'), "{}", held.given);
}

#[test]
fn field_of_a_wrong_type_is_named_without_its_value() {
    let mut wrong = route("/a/", "one");
    wrong["timeout_ms"] = json!("soon-secret");
    let error = parse(&json!({"version": 1, "routes": [wrong]})).expect_err("refused");
    let text = error.to_string();
    assert!(text.contains("routes[0].timeout_ms"), "{text}");
    assert!(!text.contains("soon-secret"), "{text}");
    for number in [json!(-1), json!(1.5)] {
        let mut wrong = route("/a/", "one");
        wrong["max_attempts"] = number;
        let error = parse(&json!({"version": 1, "routes": [wrong]})).expect_err("refused");
        assert!(error.to_string().contains("routes[0].max_attempts"));
    }
}
