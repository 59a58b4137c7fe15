use super::{OpenItems, SlotUsage};

const SLOTS: usize = 100;

/// Items without a limit on concurrency.
fn all(items: usize) -> OpenItems {
    OpenItems {
        all: items,
        max_concurrent: items,
    }
}

fn is_scarce(usage: &SlotUsage) -> bool {
    usage.is_scarce(Some("m"))
}

#[test]
fn fully_used_slots_become_scarce_after_minimum_observations() {
    let mut usage = SlotUsage::default();
    for _ in 0..300 {
        usage.record("m", all(0), SLOTS);
    }
    for _ in 0..20 {
        usage.record("m", all(3 * SLOTS), SLOTS);
    }
    assert!(!is_scarce(&usage), "too few observations");
    for _ in 0..20 {
        usage.record("m", all(3 * SLOTS), SLOTS);
    }
    assert!(is_scarce(&usage));
    assert!(!usage.is_scarce(Some("other")));
    assert!(!usage.is_scarce(None));
}

#[test]
fn slots_are_not_scarce_with_idle_time_between_bursts() {
    let mut usage = SlotUsage::default();
    for _ in 0..10 {
        for observation in 0..40 {
            let items = match observation {
                0..18 => 2 * SLOTS,
                _ => SLOTS / 5,
            };
            usage.record("m", all(items), SLOTS);
        }
        assert!(!is_scarce(&usage));
    }
}
