use super::{Candidate, WATCHERS, draw_watchers};
use sloetrail_types::Epoch;
use std::collections::BTreeSet;

fn candidates<'a>(names: &'a [String], time: impl Fn(usize) -> Option<u64>) -> Vec<Candidate<'a>> {
    let names = names.iter().enumerate();
    names
        .map(|(index, name)| Candidate {
            name,
            table_time_us: time(index),
        })
        .collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("node-{index}")).collect()
}

#[test]
fn watchers_are_drawn_from_nodes_near_the_table() {
    let names = names(30);
    let mut drawn = BTreeSet::new();
    for epoch in 1..40 {
        let near_ten = candidates(&names, |index| {
            Some(if index < 10 { 5_000 } else { 28_000 })
        });
        let watchers = draw_watchers(near_ten, Epoch(epoch));
        assert_eq!(watchers.len(), WATCHERS);
        drawn.extend(watchers.into_iter().map(str::to_owned));
    }
    let far = drawn.iter().filter(|name| !names[..10].contains(name));
    assert_eq!(far.count(), 0);
    assert_eq!(drawn.len(), 10, "each epoch draws different watchers");
}

#[test]
fn distant_nodes_watch_when_too_few_are_near() {
    let names = names(6);
    let one_near = candidates(&names, |index| {
        Some(if index == 4 { 5_000 } else { 28_000 })
    });
    let watchers = draw_watchers(one_near, Epoch(3));
    assert_eq!((watchers.len(), watchers[0]), (WATCHERS, "node-4"));
    let unknown = candidates(&names, |_| None);
    assert_eq!(draw_watchers(unknown, Epoch(3)).len(), WATCHERS);
    assert_eq!(draw_watchers(Vec::new(), Epoch(3)).len(), 0);
}
