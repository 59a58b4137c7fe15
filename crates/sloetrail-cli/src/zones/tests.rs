use super::{as_text, gather};
use crate::node_metrics::{ScrapeResult, parse};
use std::net::SocketAddr;

fn node(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn metrics(zone: &str, seconds: f64, live: u64, items: u64) -> String {
    format!(
        "sloetrail_evacuation_seconds{{zone=\"{zone}\"}} {seconds}\n\
         sloetrail_evacuation_running{{zone=\"{zone}\",kind=\"live\"}} {live}\n\
         sloetrail_evacuation_running{{zone=\"{zone}\",kind=\"items\"}} {items}\n"
    )
}

fn scraped(texts: &[&str]) -> ScrapeResult {
    Ok(parse(&texts.concat()))
}

#[test]
fn evacuated_zones_list_their_nodes_and_running_work() {
    let both = [metrics("north", 12.25, 1, 3), metrics("south", 2.0, 0, 0)];
    let withdrawn = metrics("north", 0.0, 9, 9);
    let answers = [
        (node(1), scraped(&[&both[0], &both[1]])),
        (node(2), scraped(&[&metrics("north", 11.0, 0, 2)])),
        (node(3), scraped(&[&withdrawn])),
        (node(4), scraped(&["sloetrail_zones_evacuated 0\n"])),
        (node(5), Err("connection refused".to_owned())),
    ];
    let report = gather(answers.into());
    insta::assert_snapshot!(as_text(&report).trim_end(), @r"
    zone, in force on, since, live, items
    north 2 of 4 nodes 12.2 s 1 5
    south 1 of 4 nodes 2.0 s 0 0
    10.0.0.1:5 did not answer: connection refused
    ");
}
