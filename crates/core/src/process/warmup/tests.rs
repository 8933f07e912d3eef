use super::{BURST, MAX_SENDERS, rate};
use crate::process::senders::Limiter;
use azurenotch_wire::time::Instant;

#[test]
fn all_senders_together_stay_below_the_rate_limit() {
    const PER_SECOND: f64 = 10.0;
    let mut limiters = [Limiter::new(Instant::ZERO, BURST); MAX_SENDERS];
    let mut sent = Vec::new();
    for millis in 0..3_000 {
        let now = Instant::from_millis(millis);
        for limiter in &mut limiters {
            if limiter.has_token(now, rate(PER_SECOND, MAX_SENDERS), BURST) {
                limiter.take();
                sent.push(millis);
            }
        }
    }
    let worst = sent
        .iter()
        .map(|first| {
            sent.iter()
                .filter(|it| *it >= first && **it < first + 1000)
                .count()
        })
        .max();
    assert!(worst <= Some(15), "{worst:?}");
}
