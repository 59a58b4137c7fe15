use super::{DirectoryIndex, KeyRanges};
use std::collections::BTreeSet;

fn keys(count: usize) -> BTreeSet<String> {
    // Spread as the digests are that back ends are named by.
    let key = |number: usize| {
        let digest = sloetrail_types::digest(number.to_string().as_bytes());
        format!("i-{digest:016x}")
    };
    (0..count).map(key).collect()
}

fn held(ranges: &KeyRanges, keys: &BTreeSet<String>) -> usize {
    keys.iter().filter(|key| ranges.contains(key)).count()
}

/// What a node holds does not grow with the fleet, and the index stays a small row.
#[test]
fn a_node_holds_as_much_of_a_large_directory_as_of_a_small_one() {
    for count in [2_000, 10_000, 20_000, 100_000] {
        let keys = keys(count);
        let index = DirectoryIndex::from_keys(keys.iter());
        let ranges = index.ranges_for("node-7", 600);
        let held = held(&ranges, &keys);
        assert!((500..=1_000).contains(&held), "{held} of {count}");
        assert!(index.encode().len() < 10_000, "{}", index.encode().len());
        let estimate = ranges.total_rows(held);
        assert!(
            estimate * 10 > count * 9 && estimate * 9 < count * 10,
            "{estimate} of {count}"
        );
    }
}

#[test]
fn the_ranges_of_all_nodes_spread_over_all_back_ends() {
    let keys = keys(10_000);
    let index = DirectoryIndex::from_keys(keys.iter());
    let mut holders = vec![0; keys.len()];
    for node in 0..500 {
        let ranges = index.ranges_for(&format!("front-{node}"), 600);
        for (count, key) in holders.iter_mut().zip(&keys) {
            *count += usize::from(ranges.contains(key));
        }
    }
    // Thirty each on average.
    let (least, most) = (holders.iter().min(), holders.iter().max());
    assert!(
        least >= Some(&12) && most <= Some(&55),
        "{least:?} to {most:?}"
    );
}

#[test]
fn a_node_that_wants_more_keeps_what_it_holds() {
    let keys = keys(10_000);
    let index = DirectoryIndex::from_keys(keys.iter());
    let few = index.ranges_for("node", 600);
    let more = index.ranges_for("node", 1_200);
    assert!(
        keys.iter()
            .all(|key| !few.contains(key) || more.contains(key))
    );
    assert!(held(&more, &keys) > held(&few, &keys));
    assert!(index.ranges_for("node", 10_000).covers_all());
}

/// Keys that were written since the index was made lie in one range each, wherever they are.
#[test]
fn every_key_lies_in_one_range() {
    let listed = keys(3_000);
    let index = DirectoryIndex::from_keys(listed.iter());
    let all_keys = index.ranges_for("node", usize::MAX / 2);
    let mut others = keys(9_000);
    others.extend(["", "0", "i-", "zzz", "\u{10ffff}"].map(str::to_owned));
    assert!(all_keys.covers_all());
    assert!(others.iter().all(|key| all_keys.contains(key)));
}

#[test]
fn rows_that_are_no_index_are_not_used() {
    let sound = DirectoryIndex::from_keys(keys(1_000).iter());
    assert_eq!(DirectoryIndex::decode(&sound.encode()), Some(sound.clone()));
    let torn = &sound.encode()[..40];
    let many: Vec<String> = keys(5_000).into_iter().collect();
    let many = serde_json::json!({"rows": 5_000, "starts": many}).to_string();
    let values: [&[u8]; 6] = [
        b"",
        torn,
        b"\xff\x00",
        br#"{"rows":-3,"starts":[]}"#,
        br#"{"rows":500,"starts":["b","a"]}"#,
        many.as_bytes(),
    ];
    for value in values {
        assert_eq!(DirectoryIndex::decode(value), None);
    }
}

/// An index that says nonsense of the number of rows costs reading, not back ends.
#[test]
fn an_index_with_an_absurd_number_of_rows_still_names_whole_ranges() {
    for rows in [0, 1, usize::MAX] {
        let value = serde_json::json!({"rows": rows, "starts": ["g", "n"]}).to_string();
        let index = DirectoryIndex::decode(value.as_bytes()).expect("an index");
        let ranges = index.ranges_for("node", 600);
        let held = ["a", "h", "z"].iter().filter(|key| ranges.contains(key));
        assert!(held.count() >= 1, "{rows}");
        let _ = (ranges.total_rows(1_000), index.is_outdated(1_000));
    }
}
