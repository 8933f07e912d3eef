use super::*;
use crate::request::admission;
use test_case::test_case;

const REFUSAL: Refusal = Refusal {
    workspace: Some(1),
    rank: 1,
    until_admissible: Duration::from_millis(200),
    left: Duration::from_secs(12),
};

/// Returns a backlog after two seconds with 100 answers a second.
fn busy() -> (Instant, Backlog) {
    let mut backlog = Backlog::default();
    let mut now = Instant::ZERO;
    for _ in 0..200 {
        now = now + Duration::from_millis(10);
        backlog.on_answer(now, REFUSAL.workspace);
    }
    (now, backlog)
}

/// Returns a number in 0..1 for each caller; they are evenly spread.
fn random(caller: u32) -> f64 {
    f64::from(caller) * 0.618_034 % 1.0
}

/// Returns the largest number of callers that return within 100 ms.
fn largest_crowd(delays: &[Duration]) -> usize {
    let within = |from: Duration| {
        let until = from + Duration::from_millis(100);
        let returned = delays.iter().filter(|it| (from..until).contains(*it));
        returned.count()
    };
    delays.iter().map(|from| within(*from)).max().unwrap_or(0)
}

/// Guards against callers refused together that return together: 10 can be served in 100 ms.
#[test]
fn callers_return_as_fast_as_they_can_be_served() {
    const CALLERS: u32 = 200;
    let former = |caller| admission::retry_after(REFUSAL.until_admissible, random(caller));
    let former: Vec<Duration> = (0..CALLERS).map(former).collect();
    assert!(largest_crowd(&former) >= 60);
    let (now, mut backlog) = busy();
    let delays = (0..CALLERS).map(|caller| backlog.refuse(now, &REFUSAL, random(caller)));
    let delays: Vec<Duration> = delays.collect();
    assert!(largest_crowd(&delays) <= 25, "{}", largest_crowd(&delays));
}

/// Guards against delays that leave the caller no time for an answer, and against callers that try
/// again although nothing can be served in their time.
#[test_case(Refusal { left: Duration::from_secs(2), ..REFUSAL } => true; "within a third of the time left")]
#[test_case(Refusal { until_admissible: Duration::from_secs(1), left: Duration::from_secs(2), ..REFUSAL } => true; "a long queue")]
#[test_case(Refusal { until_admissible: Duration::from_secs(3), left: Duration::from_secs(2), ..REFUSAL } => false; "nothing can be served in time")]
fn delays_leave_time_for_an_answer(refusal: Refusal) -> bool {
    let (now, mut backlog) = busy();
    let mut delays = (0..300).map(|caller| backlog.refuse(now, &refusal, random(caller)));
    delays.all(|delay| delay <= refusal.left / 3)
}

/// Guards against better ranks that wait for worse ones.
#[test]
fn a_better_rank_returns_sooner() {
    let (now, mut backlog) = busy();
    let mut refuse = |rank| backlog.refuse(now, &Refusal { rank, ..REFUSAL }, 0.5);
    for _ in 0..100 {
        refuse(3);
    }
    let worse = refuse(3);
    assert!(refuse(0) + Duration::from_millis(500) < worse);
    assert!(refuse(3) > worse);
}
