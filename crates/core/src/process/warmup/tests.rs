use super::*;

#[test]
fn hosts_agree_on_the_sponsors() {
    let hosts: Vec<Host> = (0..12).map(|i| Host::from(format!("h{i}"))).collect();
    for server in 0..20 {
        let chosen = hosts
            .iter()
            .filter(|own| sponsors(server, own, &hosts).is_some())
            .count();
        assert_eq!(chosen, SPONSORS);
    }
}

#[test]
fn the_sponsors_together_stay_below_the_bound_of_a_second() {
    const PER_SECOND: f64 = 10.0;
    let mut paces = [Pace::new(Instant::ZERO); SPONSORS];
    let mut sent = Vec::new();
    for millis in 0..3_000 {
        let now = Instant::from_millis(millis);
        for pace in &mut paces {
            if pace.is_open(now, PER_SECOND, SPONSORS) {
                pace.take();
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
