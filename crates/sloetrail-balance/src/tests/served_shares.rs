//! Which kind of work is served much less than the others.

use crate::served_shares::ServedShares;
use sloetrail_types::Urgency;

fn noted(shares: &mut ServedShares, kind: Urgency, served: usize, asked: usize) {
    for number in 0..asked {
        shares.record(kind, number < served);
    }
}

#[test]
fn a_kind_is_short_below_a_third_of_what_all_get() {
    let (urgent, patient) = (Urgency::new(None, 0), Urgency::new(None, 7));
    let mut shares = ServedShares::default();
    noted(&mut shares, urgent, 50, 50);
    assert!(!shares.is_short(patient), "nobody asked");
    noted(&mut shares, patient, 0, 7);
    assert!(!shares.is_short(patient), "too few asked");
    noted(&mut shares, patient, 0, 1);
    assert!(shares.is_short(patient) && !shares.is_short(urgent));
    noted(&mut shares, patient, 30, 42);
    assert!(!shares.is_short(patient));
}

#[test]
fn what_was_long_ago_counts_no_more() {
    let (urgent, patient) = (Urgency::new(None, 0), Urgency::new(None, 7));
    let mut shares = ServedShares::default();
    noted(&mut shares, urgent, 200, 200);
    noted(&mut shares, patient, 0, 100);
    assert!(shares.is_short(patient));
    noted(&mut shares, urgent, 5_000, 5_000);
    assert!(!shares.is_short(patient), "forgotten");
}
