use crate::{ConfigurationError, RouteKind, ServingConfiguration, WeightedChoice};
use serde_json::{Value, json};
use std::collections::BTreeMap;

fn parse(value: &Value) -> Result<ServingConfiguration, ConfigurationError> {
    ServingConfiguration::parse(value.to_string().as_bytes())
}

fn route(prefix: &str, service: &str) -> Value {
    json!({"name": prefix, "host": "a.example", "path_prefix": prefix,
           "kind": "idempotent", "service": service})
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
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
fn rollout_routes_name_the_services_that_need_an_owner() {
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
fn bad_routes_are_refused_with_their_name() {
    let mut unknown_kind = route("/a/", "one");
    unknown_kind["kind"] = json!("sometimes");
    let mut no_service = route("/a/", "one");
    no_service
        .as_object_mut()
        .expect("object")
        .remove("service");
    let mut bad_weights = no_service.clone();
    bad_weights["weighted_backends"] = json!([{"service": "one", "weight": 0}]);
    for bad in [unknown_kind, no_service, bad_weights, route("/a", "one")] {
        let error = parse(&json!({"version": 1, "routes": [bad]})).expect_err("refused");
        assert!(error.to_string().contains("/a"), "{error}");
    }
    assert!(ServingConfiguration::parse(b"{").is_err());
}

#[test]
fn shares_are_met_after_few_requests() {
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
