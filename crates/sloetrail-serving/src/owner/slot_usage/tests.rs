use super::{OpenItems, SlotUsage};

const SLOTS: usize = 100;

/// Items that would all run at once if there were places.
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
fn places_that_are_always_in_use_are_scarce_soon_after_the_first_item() {
    let mut usage = SlotUsage::default();
    for _ in 0..300 {
        usage.record("m", all(0), SLOTS);
    }
    for _ in 0..20 {
        usage.record("m", all(3 * SLOTS), SLOTS);
    }
    assert!(!is_scarce(&usage), "too soon to say");
    for _ in 0..20 {
        usage.record("m", all(3 * SLOTS), SLOTS);
    }
    assert!(is_scarce(&usage));
    assert!(!usage.is_scarce(Some("other")));
    assert!(!usage.is_scarce(None));
}

#[test]
fn bursts_with_rest_between_them_leave_places_enough() {
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
