//! Counts of admissions and refusals by limiter.

/// Counts of one limiter in a minute or a phase, by workspace.
#[derive(Default, Clone)]
pub struct Count {
    pub admitted: [f64; 8],
    /// Requests refused within rate.
    pub refused: [f64; 8],
    /// Requests that the ideal bucket admitted.
    pub offered: [f64; 8],
    /// Largest fraction of a workspace's requests refused within rate in a minute.
    pub worst_minute: f64,
    /// Largest number of admissions beyond what the contract's rate and burst allow.
    pub excess: f64,
}

/// Adds the counts of a minute to its phase and clears them.
///
/// The requests refused within rate are those that the ideal bucket admitted beyond the limiter,
/// counted by workspace and minute.
pub fn add_minute(minute: &mut [Count; 3], phase: &mut [Count; 3]) {
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

pub fn print_counts(name: &str, counts: &[Count; 3]) {
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
