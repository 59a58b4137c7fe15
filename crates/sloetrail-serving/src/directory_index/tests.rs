use super::{DirectoryIndex, KeyRanges};
use std::collections::BTreeSet;

fn keys(count: usize) -> BTreeSet<String> {
    // Like the names of back ends, which are digests.
    let key = |number: usize| {
        let digest = sloetrail_types::digest(number.to_string().as_bytes());
        format!("i-{digest:016x}")
    };
    (0..count).map(key).collect()
}

fn rows_in(ranges: &KeyRanges, keys: &BTreeSet<String>) -> usize {
    keys.iter().filter(|key| ranges.contains(key)).count()
}

/// Guards against subsets and index rows that grow with the fleet.
#[test]
fn subset_size_does_not_grow_with_the_directory() {
    for count in [2_000, 10_000, 20_000, 100_000] {
        let keys = keys(count);
        let index = DirectoryIndex::from_keys(keys.iter());
        let ranges = index.ranges_for("node-7", 600);
        let rows = rows_in(&ranges, &keys);
        assert!((500..=1_000).contains(&rows), "{rows} of {count}");
        assert!(index.encode().len() < 10_000, "{}", index.encode().len());
        let estimate = ranges.total_rows(rows);
        assert!(
            estimate * 10 > count * 9 && estimate * 9 < count * 10,
            "{estimate} of {count}"
        );
    }
}

#[test]
fn ranges_of_all_nodes_spread_over_all_back_ends() {
    let keys = keys(10_000);
    let index = DirectoryIndex::from_keys(keys.iter());
    let mut readers = vec![0; keys.len()];
    for node in 0..500 {
        let ranges = index.ranges_for(&format!("front-{node}"), 600);
        for (count, key) in readers.iter_mut().zip(&keys) {
            *count += usize::from(ranges.contains(key));
        }
    }
    // The mean is 30.
    let (min, max) = (readers.iter().min(), readers.iter().max());
    assert!(min >= Some(&12) && max <= Some(&55), "{min:?} to {max:?}");
}

#[test]
fn a_larger_target_keeps_the_ranges_already_read() {
    let keys = keys(10_000);
    let index = DirectoryIndex::from_keys(keys.iter());
    let few = index.ranges_for("node", 600);
    let more = index.ranges_for("node", 1_200);
    assert!(
        keys.iter()
            .all(|key| !few.contains(key) || more.contains(key))
    );
    assert!(rows_in(&more, &keys) > rows_in(&few, &keys));
    assert!(index.ranges_for("node", 10_000).covers_all());
}

/// Keys written after the index was built must not fall between ranges.
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
fn invalid_index_rows_are_rejected() {
    let valid = DirectoryIndex::from_keys(keys(1_000).iter());
    assert_eq!(DirectoryIndex::decode(&valid.encode()), Some(valid.clone()));
    let truncated = &valid.encode()[..40];
    let many: Vec<String> = keys(5_000).into_iter().collect();
    let many = serde_json::json!({"rows": 5_000, "starts": many}).to_string();
    let values: [&[u8]; 6] = [
        b"",
        truncated,
        b"\xff\x00",
        br#"{"rows":-3,"starts":[]}"#,
        br#"{"rows":500,"starts":["b","a"]}"#,
        many.as_bytes(),
    ];
    for value in values {
        assert_eq!(DirectoryIndex::decode(value), None);
    }
}

/// A wrong row count in the index may cause extra reads but must not hide back ends.
#[test]
fn an_absurd_row_count_still_yields_complete_ranges() {
    for rows in [0, 1, usize::MAX] {
        let value = serde_json::json!({"rows": rows, "starts": ["g", "n"]}).to_string();
        let index = DirectoryIndex::decode(value.as_bytes()).expect("a valid index");
        let ranges = index.ranges_for("node", 600);
        let contained = ["a", "h", "z"].iter().filter(|key| ranges.contains(key));
        assert!(contained.count() >= 1, "{rows}");
        let _ = (ranges.total_rows(1_000), index.is_outdated(1_000));
    }
}
