use super::*;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);

/// What a host has seen of a route, and what it should expect of the next request.
struct Case {
    answers_ms: &'static [u64],
    /// Ages of the requests that run.
    running_ms: &'static [u64],
    repeatable: bool,
    need_ms: u64,
}

const EARLY: Request = Request {
    since_stop: Duration::ZERO,
    timeout: TIMEOUT,
    repeatable: true,
};

const LATE: Request = Request {
    since_stop: Duration::from_millis(3_001),
    ..EARLY
};

const STEADY: Case = Case {
    answers_ms: &[2_800; 12],
    running_ms: &[],
    repeatable: true,
    need_ms: 2_900,
};

#[test_case(Case { answers_ms: &[], need_ms: 5_000, ..STEADY }; "nothing seen")]
#[test_case(Case { answers_ms: &[100; 9], need_ms: 5_000, ..STEADY }; "too little seen")]
#[test_case(STEADY; "steady work")]
#[test_case(Case { answers_ms: &[100; 12], need_ms: 200, ..STEADY }; "short work under a long timeout")]
#[test_case(Case { repeatable: false, need_ms: 3_000, ..STEADY }; "once only")]
#[test_case(Case { answers_ms: &[1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_200], need_ms: 1_500, ..STEADY }; "a spread is continued")]
#[test_case(Case { answers_ms: &[50, 50, 50, 50, 50, 50, 50, 50, 50, 2_000], need_ms: 2_600, ..STEADY }; "at most by a quarter")]
#[test_case(Case { answers_ms: &[4_900; 12], need_ms: 5_000, ..STEADY }; "never more than the timeout")]
#[test_case(Case { running_ms: &[10, 2_850], ..STEADY }; "a request in its time")]
#[test_case(Case { answers_ms: &[100; 12], running_ms: &[10, 1_500], need_ms: 3_000, ..STEADY }; "an overdue request")]
fn a_request_needs_what_the_last_ones_needed(case: Case) {
    let now = Instant::from_millis(60_000);
    let mut forecast = Forecast::default();
    for time in case.answers_ms {
        forecast.observe(Duration::from_millis(*time));
    }
    for age in case.running_ms {
        forecast.begin(now - Duration::from_millis(*age));
    }
    let request = Request {
        repeatable: case.repeatable,
        ..EARLY
    };
    let need = forecast.need(now, &request);
    assert_eq!(need, Duration::from_millis(case.need_ms));
}

/// Request on a host that stops within [`GRACE`] and has answered none before.
struct Stop {
    /// Timeout of the route.
    time_ms: u64,
    repeatable: bool,
    /// Time since the stop was announced.
    since_ms: u64,
    accepted: bool,
}

/// Time from the announcement of a stop until running requests are cut off.
const GRACE: Duration = Duration::from_millis(5_850);

#[test_case(Stop { time_ms: 2_500, repeatable: true, since_ms: 0, accepted: true }; "at the announcement")]
#[test_case(Stop { time_ms: 2_500, repeatable: true, since_ms: 3_300, accepted: true }; "its whole time fits")]
#[test_case(Stop { time_ms: 2_500, repeatable: true, since_ms: 3_400, accepted: false }; "it might be cut off")]
#[test_case(Stop { time_ms: 400, repeatable: true, since_ms: 5_400, accepted: true }; "a short one")]
#[test_case(Stop { time_ms: 400, repeatable: true, since_ms: 5_500, accepted: false }; "a short one, too late")]
#[test_case(Stop { time_ms: 60_000, repeatable: true, since_ms: 1_000, accepted: false }; "longer than the whole stop")]
#[test_case(Stop { time_ms: 60_000, repeatable: true, since_ms: 3_500, accepted: false }; "longer than the whole stop, late")]
#[test_case(Stop { time_ms: 2_500, repeatable: false, since_ms: 3_300, accepted: true }; "once only, its whole time fits")]
#[test_case(Stop { time_ms: 3_500, repeatable: false, since_ms: 2_400, accepted: false }; "once only, it might be given up")]
#[test_case(Stop { time_ms: 60_000, repeatable: false, since_ms: 0, accepted: false }; "once only, longer than the whole stop")]
fn without_answers_the_whole_timeout_has_to_fit(stop: Stop) {
    let since_stop = Duration::from_millis(stop.since_ms);
    let left = GRACE.saturating_sub(since_stop);
    let request = Request {
        since_stop,
        timeout: Duration::from_millis(stop.time_ms),
        repeatable: stop.repeatable,
    };
    let need = Forecast::default().need(Instant::ZERO, &request);
    assert_eq!(need <= left, stop.accepted);
}

#[test]
fn requests_that_have_ended_are_not_overdue() {
    let now = Instant::from_millis(60_000);
    let started = now - Duration::from_secs(2);
    let mut forecast = Forecast::default();
    for _ in 0..MIN_ANSWERS {
        forecast.observe(Duration::from_millis(100));
    }
    forecast.begin(started);
    forecast.begin(started);
    forecast.end(started);
    assert_eq!(forecast.need(now, &EARLY), Duration::from_secs(4));
    forecast.end(started);
    assert_eq!(forecast.need(now, &EARLY), Duration::from_millis(200));
}

/// Guards against callers with little time, whose timeouts hide how long the answers take.
#[test_case(300, 1_100; "below an answer")]
#[test_case(2_000, 2_600; "above all answers")]
fn a_timeout_is_a_lower_bound(timeout_ms: u64, need_ms: u64) {
    let mut forecast = Forecast::default();
    for _ in 0..MIN_ANSWERS {
        forecast.observe(Duration::from_secs(1));
    }
    for _ in 0..RECENT_ANSWERS {
        forecast.observe_timeout(Duration::from_millis(timeout_ms));
    }
    let need = forecast.need(Instant::ZERO, &EARLY);
    assert_eq!(need, Duration::from_millis(need_ms));
}

#[test]
fn old_answers_are_forgotten() {
    let mut forecast = Forecast::default();
    forecast.observe(Duration::from_secs(4));
    for _ in 0..RECENT_ANSWERS {
        forecast.observe(Duration::from_millis(100));
    }
    let need = forecast.need(Instant::ZERO, &EARLY);
    assert_eq!(need, Duration::from_millis(200));
}

/// What a host has seen of a route with a few long requests.
struct Mix {
    /// Number of answers in 50 ms, and of those in 4 s.
    answers: [usize; 2],
    /// Number of requests that had no answer after 4 s.
    timeouts: usize,
    /// Number of requests that have run for a second.
    running: usize,
    request: Request,
    need_ms: u64,
}

const FEW: Mix = Mix {
    answers: [97, 3],
    timeouts: 0,
    running: 0,
    request: EARLY,
    need_ms: 150,
};

#[test_case(FEW; "a few long answers do not count")]
#[test_case(Mix { answers: [89, 11], need_ms: 5_000, ..FEW }; "many do")]
#[test_case(Mix { answers: [100, 0], timeouts: 5, ..FEW }; "a few timeouts do not count")]
#[test_case(Mix { answers: [100, 0], timeouts: 12, need_ms: 5_000, ..FEW }; "many timeouts do")]
#[test_case(Mix { answers: [100, 0], running: 5, ..FEW }; "a few overdue requests do not count")]
#[test_case(Mix { answers: [100, 0], running: 11, need_ms: 2_000, ..FEW }; "many overdue requests do")]
#[test_case(Mix { answers: [46, 3], need_ms: 5_000, ..FEW }; "of fewer answers they do")]
#[test_case(Mix { request: Request { repeatable: false, ..EARLY }, need_ms: 5_000, ..FEW }; "once only")]
#[test_case(Mix { request: LATE, need_ms: 5_000, ..FEW }; "callers could know of the stop")]
#[test_case(Mix { answers: [200, 0], running: 1, request: LATE, need_ms: 5_000, ..FEW }; "callers could know of the stop, one is overdue")]
#[test_case(Mix { answers: [150, 0], request: LATE, ..FEW }; "short work, late")]
#[test_case(Mix { answers: [149, 0], request: LATE, need_ms: 5_000, ..FEW }; "too little seen, late")]
fn a_few_long_requests_count_where_callers_could_know_of_the_stop(mix: Mix) {
    let now = Instant::from_millis(60_000);
    let mut forecast = Forecast::default();
    let [short, long] = mix.answers;
    // The long ones first, so that they are the oldest.
    for (count, ms) in [(long, 4_000), (short, 50)] {
        for _ in 0..count {
            forecast.observe(Duration::from_millis(ms));
        }
    }
    for _ in 0..mix.timeouts {
        forecast.observe_timeout(Duration::from_secs(4));
    }
    for _ in 0..mix.running {
        forecast.begin(now - Duration::from_secs(1));
    }
    let need = forecast.need(now, &mix.request);
    assert_eq!(need, Duration::from_millis(mix.need_ms));
}

/// Guards against a host that forgets its long requests within seconds.
#[test]
fn late_requests_go_by_more_answers() {
    let mut forecast = Forecast::default();
    forecast.observe(Duration::from_secs(2));
    for _ in 1..MAX_ANSWERS {
        forecast.observe(Duration::from_millis(50));
    }
    let late = |forecast: &Forecast| forecast.need(Instant::ZERO, &LATE);
    assert_eq!(late(&forecast), Duration::from_millis(2_600));
    forecast.observe(Duration::from_millis(50));
    assert_eq!(late(&forecast), Duration::from_millis(150));
}
