use super::*;

/// Guards against initial estimates that measurements do not correct. A version eight times slower
/// was found good while cold work was estimated at twice its time.
#[test]
fn estimates_follow_the_measurements() {
    let mut work = Work::new(Duration::from_millis(500));
    for _ in 0..10 {
        work.observe(0.48);
    }
    assert!(work.cold() < 0.6, "{}", work.cold());
    for _ in 0..100 {
        work.observe(0.144);
        work.observe(0.144);
        work.observe(0.48);
    }
    assert!(
        (work.expected(1.0) - 0.144).abs() < 0.01,
        "{}",
        work.expected(1.0)
    );
    assert!((work.cold() - 0.48).abs() < 0.02, "{}", work.cold());
}

#[test]
fn a_slow_server_does_not_spoil_the_estimates() {
    let mut work = Work::new(Duration::from_millis(300));
    for _ in 0..100 {
        work.observe(0.144);
        work.observe(0.48);
    }
    for _ in 0..5 {
        work.observe(5.0);
    }
    assert!(work.cold() < 0.6, "{}", work.cold());
}
