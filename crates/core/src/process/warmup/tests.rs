use super::*;

#[test]
fn hosts_agree_on_the_senders() {
    let hosts: Vec<Host> = (0..12).map(|i| Host::from(format!("h{i}"))).collect();
    for server in 0..20 {
        let chosen = hosts
            .iter()
            .filter(|own| sender_count(server, own, &hosts).is_some())
            .count();
        assert_eq!(chosen, MAX_SENDERS);
    }
}

#[test]
fn all_senders_together_stay_below_the_rate_limit() {
    const PER_SECOND: f64 = 10.0;
    let mut limiters = [Limiter::new(Instant::ZERO); MAX_SENDERS];
    let mut sent = Vec::new();
    for millis in 0..3_000 {
        let now = Instant::from_millis(millis);
        for limiter in &mut limiters {
            if limiter.has_token(now, PER_SECOND, MAX_SENDERS) {
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
