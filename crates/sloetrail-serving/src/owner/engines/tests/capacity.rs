use super::{engines_of_model, pool, set_event_interval};
use sloetrail_clock::BootInstant;

const SLOTS: f64 = 8.0;

/// Guards against planning with engines that make less than half as many events as with others.
#[test]
fn capacity_counts_each_engine_with_its_speed() {
    let mut pool = pool(9);
    let now = BootInstant::now();
    let ids = engines_of_model(&pool, "a");
    assert_eq!(ids.len(), 3);
    assert_eq!(pool.capacity_of("a", now), 0.0, "no interval is known");
    set_event_interval(&pool, &ids[0], 50);
    assert_eq!(
        pool.capacity_of("a", now),
        3.0 * SLOTS * 20.0,
        "the others count with the median"
    );
    set_event_interval(&pool, &ids[1], 50);
    set_event_interval(&pool, &ids[2], 100);
    assert_eq!(pool.capacity_of("a", now), SLOTS * (20.0 + 20.0 + 10.0));
    pool.get_mut(&ids[2]).expect("known").record_loss();
    assert_eq!(pool.capacity_of("a", now), SLOTS * 40.0, "one is lost");
    assert_eq!(pool.capacity_of("unknown", now), 0.0);
    for id in engines_of_model(&pool, "b") {
        set_event_interval(&pool, &id, 50);
    }
    set_event_interval(&pool, &ids[1], 130);
    assert!(pool.update_slow_engines());
    assert_eq!(pool.capacity_of("a", now), SLOTS * 20.0, "one is slow");
}
