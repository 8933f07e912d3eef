//! Counts the steps of computations whose cost grows with the fleet.
//!
//! Tests compare the steps that an event takes with a bound. Unlike processor time, the number of
//! steps is the same on every machine. Without the feature `count-work` nothing is counted.

#[cfg(feature = "count-work")]
use std::cell::Cell;

#[cfg(feature = "count-work")]
thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
}

/// Counts one step of the calling thread: a name that is hashed, or a row or host that is visited.
#[inline]
pub fn step() {
    #[cfg(feature = "count-work")]
    STEPS.with(|steps| steps.set(steps.get() + 1));
}

/// Runs `work` and returns how many steps it takes on the calling thread.
#[cfg(feature = "count-work")]
pub fn count(work: impl FnOnce()) -> u64 {
    let before = STEPS.with(Cell::get);
    work();
    STEPS.with(Cell::get) - before
}
