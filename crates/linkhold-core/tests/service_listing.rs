//! A node's knowledge of its own registration.

use std::time::{Duration, Instant};

use linkhold_core::service::listing::{LISTING_VALIDITY, Listing, SentRenewals};
use linkhold_core::service::readers::{FOLLOWER_RENEWAL_INTERVAL, RENEWAL_INTERVAL, ROW_EXPIRY};

#[test]
fn a_listing_counts_from_before_its_renewal_was_sent() {
    let sent_at = Instant::now();
    let mut listing = Listing::default();
    assert!(!listing.is_valid(sent_at));
    listing.record_renewal(sent_at);
    assert!(listing.is_valid(sent_at + LISTING_VALIDITY - Duration::from_millis(1)));
    assert!(!listing.is_valid(sent_at + LISTING_VALIDITY));
    // An answer that comes late does not move the known time back.
    listing.record_renewal(sent_at - Duration::from_secs(1));
    assert_eq!(listing.renewed_at(), Some(sent_at));
}

/// A node stops before others may leave it out, and two renewals may be lost before it
/// does.
#[test]
fn a_listing_ends_before_its_row_and_outlives_two_renewals() {
    assert!(LISTING_VALIDITY < ROW_EXPIRY);
    assert!(RENEWAL_INTERVAL * 2 < LISTING_VALIDITY);
    assert!(FOLLOWER_RENEWAL_INTERVAL * 3 < LISTING_VALIDITY);
}

#[test]
fn a_confirmation_yields_when_its_renewal_was_sent() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut renewals = SentRenewals::starting_at(u64::MAX - 1);
    let numbers: Vec<u64> = (0..4).map(|second| renewals.send(at(second))).collect();
    assert_eq!(renewals.confirm(numbers[1]), Some(at(1)));
    // Earlier renewals are confirmed with it.
    assert_eq!(renewals.confirm(numbers[0]), None);
    assert_eq!(renewals.confirm(numbers[3]), Some(at(3)));
    assert_eq!(renewals.confirm(numbers[2]), None);
    // The number of another stream confirms nothing.
    assert_eq!(renewals.confirm(77), None);
}
