//! Detection of underserved urgencies.

use crate::served_shares::ServedShares;
use sloetrail_types::Urgency;

fn record(shares: &mut ServedShares, urgency: Urgency, served: usize, requests: usize) {
    for number in 0..requests {
        shares.record(urgency, number < served);
    }
}

#[test]
fn urgency_is_underserved_below_a_third_of_the_average() {
    let (urgent, less_urgent) = (Urgency::new(None, 0), Urgency::new(None, 7));
    let mut shares = ServedShares::default();
    record(&mut shares, urgent, 50, 50);
    assert!(!shares.is_underserved(less_urgent), "no requests");
    record(&mut shares, less_urgent, 0, 7);
    assert!(!shares.is_underserved(less_urgent), "too few requests");
    record(&mut shares, less_urgent, 0, 1);
    assert!(shares.is_underserved(less_urgent) && !shares.is_underserved(urgent));
    record(&mut shares, less_urgent, 30, 42);
    assert!(!shares.is_underserved(less_urgent));
}

#[test]
fn old_requests_no_longer_count() {
    let (urgent, less_urgent) = (Urgency::new(None, 0), Urgency::new(None, 7));
    let mut shares = ServedShares::default();
    record(&mut shares, urgent, 200, 200);
    record(&mut shares, less_urgent, 0, 100);
    assert!(shares.is_underserved(less_urgent));
    record(&mut shares, urgent, 5_000, 5_000);
    assert!(!shares.is_underserved(less_urgent), "forgotten");
}
