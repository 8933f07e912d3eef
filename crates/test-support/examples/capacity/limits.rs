//! Load on the platform, propagation of a change, failures, and limits by fleet size.

use super::{
    configuration::CHANGES_PER_DAY,
    report::{Report, grouped, number},
    roles::{
        CANDIDATES, DATA_CENTRES, HOSTS, Limit, SECONDS_PER_DAY, SLOTS, head, heartbeat_bytes,
        hosts_met_per_second, row,
    },
};

/// Hosts that fail or restart per day.
const RESTARTS_PER_DAY: f64 = 278.0;
/// Assumed number of hosts per rack.
const HOSTS_PER_RACK: f64 = 40.0;
/// Connections that the peer port accepts, `serve::MAX_CONNECTIONS`.
const MAX_PEER_CONNECTIONS: f64 = 512.0;

/// Calculates the load on the platform's table, object store and host list.
pub fn platform(report: &mut Report) {
    use Limit::{Reads, Writes};
    let slope = report.fact("lease.reads");
    let lease_writes = report.fact("lease.writes");
    let slot_writes = report.fact("slot.writes");
    let roles = 2.0 + DATA_CENTRES;
    let today = 1.0 + slope + 0.2;
    head(report);
    row(
        report,
        "Today: head, every host each second",
        "3,100 x 1",
        HOSTS,
        Reads,
    );
    row(
        report,
        "Today: lease `budget`, every host watches",
        "slope x 3,100",
        slope * HOSTS,
        Reads,
    );
    row(
        report,
        "Today: host list, every host each 5 s",
        "3,100 / 5",
        HOSTS / 5.0,
        Reads,
    );
    row(report, "**Today, sum**", "", today * HOSTS, Reads);
    row(
        report,
        "Relays poll the head",
        "24 x 1",
        DATA_CENTRES,
        Reads,
    );
    row(
        report,
        "Leases of budget, planner and 24 relays, every host of the scope watches",
        "slope x 3 x 3,100",
        3.0 * slope * HOSTS,
        Reads,
    );
    row(
        report,
        "The same with three candidates each",
        "slope x 3 x 26",
        slope * CANDIDATES * roles,
        Reads,
    );
    row(
        report,
        "Search for abandoned slots",
        "3,200 / 60",
        SLOTS / 60.0,
        Reads,
    );
    row(
        report,
        "Relays read the host list",
        "24 / 5",
        DATA_CENTRES / 5.0,
        Reads,
    );
    row(
        report,
        "Lease renewals",
        "26 x measured",
        lease_writes * roles,
        Writes,
    );
    row(
        report,
        "Slot renewals",
        "line at 3,100",
        slot_writes,
        Writes,
    );
    row(
        report,
        "Allocations",
        "fleet + 24 data centres, 1 a second",
        DATA_CENTRES + 1.0,
        Writes,
    );
    row(
        report,
        "Changes: head and object",
        "2 x 1,600 / 86,400",
        2.0 * CHANGES_PER_DAY / SECONDS_PER_DAY,
        Writes,
    );
    report.line(&format!(
        "\nToday's code reads {} times a second for each host, so that 2,000 reads/s are reached \
         at {} hosts.",
        number(today),
        number((2_000.0 / today).floor())
    ));
}

/// Calculates the time until a change is in force on every host.
pub fn propagation(report: &mut Report) {
    let rounds = report.fact("gossip.rounds.loss");
    let asking = hosts_met_per_second();
    let accept = (report.fact("accept.us") + report.fact("delta.create.us")) / 1e6;
    let adopt = report.fact("delta.apply.us") / 1e6;
    report
        .line("| | delta, mean | delta, largest | whole snapshot |\n| --- | ---: | ---: | ---: |");
    let sizes = [
        report.fact("delta.bytes"),
        report.fact("delta.most"),
        report.fact("snapshot.wire"),
    ];
    let transfer = sizes.map(|bytes| bytes / 15_000.0);
    let times = [
        ("accepting and storing", transfer.map(|time| accept + time)),
        ("poll of the relay, one read lost", [2.0; 3]),
        ("relay loads", transfer.map(|time| time + adopt)),
        (
            "gossip rounds, each with a transfer to 8 hosts that ask",
            transfer.map(|time| rounds * (1.0 + adopt + asking * time)),
        ),
    ];
    let mut sum = [0.0; 3];
    for (name, values) in &times {
        for (sum, value) in sum.iter_mut().zip(values) {
            *sum += value;
        }
        line(report, name, values);
    }
    line(report, "**sum, s**", &sum);
    report.keep("propagation.s", sum[1]);
    report.line(&format!(
        "\nRounds: {rounds} of one second, the worst trial with 10 % of the exchanges lost. \
         The sum is compared with 16 s."
    ));
}

fn line(report: &mut Report, name: &str, values: &[f64; 3]) {
    report.line(&format!(
        "| {name} | {} | {} | {} |",
        number(values[0]),
        number(values[1]),
        number(values[2])
    ));
}

/// Calculates the cost of failures, restarts and network partitions.
pub fn failures(report: &mut Report) {
    let wire = report.fact("snapshot.wire");
    let hour = CHANGES_PER_DAY / 24.0;
    let missed = hour * report.fact("delta.bytes");
    report.line(&format!(
        "- Restart: the snapshot takes {} s at 15 KB/s. {RESTARTS_PER_DAY} starts a day are {} KB/s over \
         the whole fleet.\n\
         - Rack of {HOSTS_PER_RACK} hosts: {HOSTS_PER_RACK} events at every host, {} us; the time line keeps 4,096.\n\
         - Dead host: judged dead by a host of its data centre after {} s at the latest, by a host \
         of another data centre after {} s. Deaths are not passed on.\n\
         - Region cut off for an hour: about {} changes are missed; their deltas have {} bytes, \
         {} s at 15 KB/s; a whole snapshot takes {} s.",
        number(wire / 15_000.0),
        number(RESTARTS_PER_DAY * wire / SECONDS_PER_DAY / 1_000.0),
        number(HOSTS_PER_RACK * report.fact("timeline.us")),
        number(report.fact("dead.own")),
        grouped(report.fact("dead.remote")),
        number(hour),
        number(missed),
        number(missed / 15_000.0),
        number(wire / 15_000.0),
    ));
    let object = report.fact("object.bytes");
    report.line(&format!(
        "- First load of the client blocks from an object of their own: {} s at 15 KB/s, and {} s \
         of processor time to build the table.",
        grouped(object / 15_000.0),
        number(report.fact("look-up.build.us") / 1e6),
    ));
}

/// Lists the fleet sizes at which today's code reaches each limit, smallest first.
pub fn order(report: &mut Report) {
    let fact = |name: &str| report.fact(name);
    let exchange = fact("exchange.bytes");
    let network = Limit::Network.value();
    let heartbeats = heartbeat_bytes(report);
    let report_size = |active: f64| fact("report.bytes") * active + exchange;
    let reads = 1.0 + fact("lease.reads") + 0.2;
    let cpu = |active: f64| {
        let messages = (fact("report.us") + fact("report.codec.us")) * active;
        let tick = fact("ledger-hosts-tick") / 20.0 * active;
        Limit::Processor.value() / (messages + fact("exchange.us") / 2.0 + tick)
    };
    let mut limits = vec![
        (
            "holder of `budget`: messages, 8 workspaces, 15 KB/s",
            network / report_size(8.0),
        ),
        (
            "holder of `budget`: messages, 100 workspaces, 15 KB/s",
            network / report_size(100.0),
        ),
        (
            "holder of `budget`: 1.8 % of a core, 8 workspaces",
            cpu(8.0),
        ),
        (
            "holder of `budget`: 1.8 % of a core, 100 workspaces",
            cpu(100.0),
        ),
        (
            "holder of `budget`: allocation row each second, 8 workspaces, 15 KB/s",
            network / (fact("ledger-hosts-bytes") / 20.0 * 8.0),
        ),
        (
            "every host: heartbeats to all others, 15 KB/s (to 33 hosts)",
            network / exchange / 2.0 + 1.0,
        ),
        (
            "every host: host list and heartbeats to six, 15 KB/s",
            (network - heartbeats) / (fact("roster.bytes.slope") / 5.0),
        ),
        ("platform: 2,000 reads/s", Limit::Reads.value() / reads),
        (
            "holder of `budget`: connections of the peer port (from the code)",
            MAX_PEER_CONNECTIONS,
        ),
    ];
    limits.sort_by(|a, b| a.1.total_cmp(&b.1));
    report.line("| Limit | met above this number of hosts |\n| --- | ---: |");
    for (name, hosts) in limits {
        report.line(&format!("| {name} | {} |", grouped(hosts.floor())));
    }
    let share = report.fact("snapshot.wire") / (16.0 * network);
    report.line(&format!(
        "\nIndependent of the number of hosts: a whole snapshot with 10,000 workspaces and 20,000 \
         keys is {} times what one transfer of 16 s at 15 KB/s carries.",
        number(share)
    ));
}
