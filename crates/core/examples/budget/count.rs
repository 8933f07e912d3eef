//! Admissions and refusals of the limiters.

/// A limiter under test: its admissions in this minute and since the start of its phase.
#[derive(Default, Clone)]
pub struct Count {
    pub admitted: [f64; 8],
    pub refused: [f64; 8],
    pub offered: [f64; 8],
    pub worst_minute: f64,
    pub excess: f64,
}

/// Adds a minute's counts to its phase. Refused within rate is what the ideal bucket admits beyond
/// the limiter, per workspace and minute.
pub fn settle(minute: &mut [Count; 3], phase: &mut [Count; 3]) {
    let ideal = minute[2].admitted;
    for (minute, phase) in minute.iter_mut().zip(phase) {
        for (i, ideal) in ideal.into_iter().enumerate() {
            let refused = (ideal - minute.admitted[i]).max(0.0);
            phase.admitted[i] += minute.admitted[i];
            phase.refused[i] += refused;
            phase.offered[i] += ideal;
            phase.worst_minute = phase.worst_minute.max(refused / ideal.max(1.0));
        }
        phase.excess = phase.excess.max(minute.excess);
        *minute = Count::default();
    }
}

pub fn print(name: &str, counts: &[Count; 3]) {
    println!("{name}");
    for (limiter, count) in ["ledger", "even split", "ideal"].iter().zip(counts) {
        let share = |i: usize| count.refused[i] / count.offered[i].max(1.0) * 100.0;
        let all = count.refused.iter().sum::<f64>() / count.offered.iter().sum::<f64>() * 100.0;
        let worst = (0..8)
            .max_by(|a, b| share(*a).total_cmp(&share(*b)))
            .unwrap_or(0);
        println!(
            "  {limiter:10}  refused within rate {all:7.3} %  worst workspace {worst}: {:7.3} %  \
             worst minute {:7.3} %  excess {:.3} requests",
            share(worst),
            count.worst_minute * 100.0,
            count.excess.max(0.0),
        );
        let each: Vec<String> = (0..8).map(|i| format!("{:.2}", share(i))).collect();
        println!("              by workspace: {}", each.join(" "));
    }
}
