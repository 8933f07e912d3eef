//! Release of reserved memory.

use super::Reservation;
use azurenotch_core::request::body_memory::Account;
use bytes::Bytes;
use parking_lot::Mutex;
use std::sync::Arc;

/// Guards against memory that counts as free while a slow caller's connection still holds it.
#[test]
fn memory_stays_reserved_until_the_last_reference_is_dropped() {
    let account = Arc::new(Mutex::new(Account::new(1_000)));
    let mut reservation = Reservation::new(&account);
    reservation.grow(600).expect("enough memory");
    let bytes = reservation.hold(Bytes::from(vec![0; 600]));
    let queued = bytes.slice(100..);
    drop(bytes);
    assert_eq!(account.lock().reserved(), 600);
    drop(queued);
    assert_eq!(account.lock().reserved(), 0);
}
