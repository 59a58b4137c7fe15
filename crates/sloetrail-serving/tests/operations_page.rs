//! The operations page must list exactly the events and metrics of the code.

use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const EVENTS: &str = include_str!("../src/events.rs");
const TELEMETRY: &str = include_str!("../src/telemetry.rs");

/// Returns the first cell of each table row in a section.
fn documented(heading: &str) -> BTreeSet<String> {
    let section = PAGE
        .split("\n## ")
        .find(|section| section.starts_with(heading));
    let rows = section.expect("the section exists").lines();
    let cells = rows.filter_map(|row| row.strip_prefix("| `")?.split('`').next());
    cells.map(str::to_owned).collect()
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.extend(letter.to_lowercase());
    }
    text
}

#[test]
fn page_lists_every_event() {
    let start = EVENTS.find("pub enum Event<").expect("the enum");
    let end = EVENTS[start..].find("\n}\n").expect("its end") + start;
    let variants = EVENTS[start..end].lines().filter_map(|line| {
        let name = line.strip_prefix("    ")?.strip_suffix(" {")?;
        name.starts_with(char::is_uppercase)
            .then(|| snake_case(name))
    });
    let variants: BTreeSet<String> = variants.collect();
    assert!(variants.len() > 25);
    assert_eq!(documented("Logs"), variants);
}

#[test]
fn page_lists_every_metric() {
    let names = TELEMETRY
        .split('"')
        .filter(|text| text.starts_with("sloetrail_"));
    let names: BTreeSet<String> = names.map(str::to_owned).collect();
    assert!(names.len() > 15);
    assert_eq!(documented("Metrics"), names);
}
