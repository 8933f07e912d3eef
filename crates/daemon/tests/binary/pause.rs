//! Stops of entry hosts whose process stands still when the signal comes.

use crate::{
    log::{start, text},
    process::wait_until,
};
use rustix::process::{Pid, Signal, kill_process};
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Grace period of the hosts in seconds.
const GRACE_S: u32 = 3;
/// Number of the first host; below it are those of the other tests.
const FIRST: usize = 100;

/// Guards against a process that counts its grace period from the time at which it runs again.
#[test_case(FIRST, 1_000; "within the time for new connections")]
#[test_case(FIRST + 1, 2_300; "longer than the time for new connections")]
#[tokio::test]
async fn a_signal_counts_from_when_it_was_sent(number: usize, pause_ms: u64) {
    let (mut host, log) = start(number, GRACE_S);
    wait_until("the host has started", async || {
        text(&log).contains("entry: started").then_some(())
    })
    .await;
    let process = Pid::from_child(&host);
    let signal = |signal| kill_process(process, signal).expect("the process runs");
    // Stopped first, so that it cannot handle the other signal before it is.
    signal(Signal::STOP);
    let sent = Instant::now();
    signal(Signal::TERM);
    sleep(Duration::from_millis(pause_ms)).await;
    signal(Signal::CONT);
    let status = wait_until("the host ends", async || {
        host.try_wait().expect("it is a child")
    })
    .await;
    let time = sent.elapsed();
    assert!(status.success(), "{status}");
    assert!(time < Duration::from_secs(GRACE_S.into()), "{time:?}");
    assert!(text(&log).contains("entry: stopped"), "{}", text(&log));
}
