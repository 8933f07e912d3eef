//! Calculated load of the leased roles and the operator-facing host at the target size.

use super::{
    configuration::CHANGES_PER_DAY,
    report::{Report, number},
    roles::{
        ACTIVE_WORKSPACES_PER_CENTRE, ACTIVE_WORKSPACES_PER_HOST, DATA_CENTRES, HOSTS,
        HOSTS_PER_CENTRE, Limit, SECONDS_PER_DAY, WORKSPACES, head, row,
    },
};

/// Calculates the load of the holder of the budget role with one and with two levels.
pub fn budget(report: &mut Report) {
    use Limit::{Memory, Network, Processor};
    let fact = |name: &str| report.fact(name);
    let per_report = fact("report.us") + fact("report.codec.us");
    // The lines by hosts are for 20 workspaces, those by workspaces for 24 reporters.
    let cell = fact("ledger-hosts-tick") / 20.0;
    let cell_memory = fact("ledger-hosts-memory") / 20.0;
    let cell_row = fact("ledger-hosts-bytes") / 20.0;
    let answers = |reporters: f64| reporters * fact("exchange.us") / 2.0;
    let message = |reporters: f64, active: f64| {
        reporters * (fact("report.bytes") * active + fact("exchange.bytes"))
    };
    let levels = [
        (
            "One level (today)",
            HOSTS,
            ACTIVE_WORKSPACES_PER_HOST,
            cell * HOSTS * ACTIVE_WORKSPACES_PER_CENTRE,
            HOSTS * ACTIVE_WORKSPACES_PER_HOST,
        ),
        (
            "Fleet level",
            DATA_CENTRES,
            ACTIVE_WORKSPACES_PER_CENTRE,
            fact("ledger-tick") * WORKSPACES,
            DATA_CENTRES * ACTIVE_WORKSPACES_PER_CENTRE,
        ),
        (
            "Data-centre level",
            HOSTS_PER_CENTRE,
            ACTIVE_WORKSPACES_PER_HOST,
            cell * HOSTS_PER_CENTRE * ACTIVE_WORKSPACES_PER_CENTRE,
            HOSTS_PER_CENTRE * ACTIVE_WORKSPACES_PER_HOST,
        ),
    ];
    let rows = levels.map(|(name, reporters, active, tick, cells)| {
        let reports = per_report * active * reporters + answers(reporters);
        let bytes = message(reporters, active);
        (
            name,
            reports,
            tick,
            bytes,
            cells * cell_memory,
            cells * cell_row,
        )
    });
    head(report);
    for (name, reports, tick, bytes, memory, allocation) in rows {
        row(
            report,
            &format!("{name}: reports"),
            "reporters x (active x (report + codec) + answer)",
            reports,
            Processor,
        );
        row(
            report,
            &format!("{name}: round"),
            "tick slope x workspaces (x reporters)",
            tick,
            Processor,
        );
        row(
            report,
            &format!("{name}: messages"),
            "reporters x (active x bytes + exchange)",
            bytes,
            Network,
        );
        row(
            report,
            &format!("{name}: allocation row each second"),
            "cells x bytes",
            allocation,
            Network,
        );
        row(
            report,
            &format!("{name}: ledger"),
            "cells x bytes",
            memory,
            Memory,
        );
    }
}

/// Calculates the load of the planner with evidence per host and with sums per data centre.
pub fn planner(report: &mut Report) {
    let fact = |name: &str| report.fact(name);
    // The cost of an exchange, with a report instead of the two heartbeats.
    let bytes = fact("exchange.bytes") - 2.0 * fact("heartbeat.bytes") + fact("evidence.bytes");
    let message = fact("exchange.us") / 2.0 + fact("planner.take.us");
    let decide =
        |reporters: f64| fact("planner.decide.start") + reporters * fact("planner.decide.us");
    let levels = [
        ("From every host (as designed)", HOSTS),
        ("Summed by each data centre", DATA_CENTRES),
    ];
    let rows = levels.map(|(name, reporters)| {
        let cpu = reporters * message + decide(reporters);
        (name, cpu, reporters * bytes)
    });
    head(report);
    for (name, cpu, bytes) in rows {
        let formula = "reporters x (exchange / 2 + report) + decide";
        row(
            report,
            &format!("{name}, one move"),
            formula,
            cpu,
            Limit::Processor,
        );
        let formula = "reporters x (report + HTTP + segments)";
        row(
            report,
            &format!("{name}, one move"),
            formula,
            bytes,
            Limit::Network,
        );
    }
}

/// Calculates the load of the host that accepts changes.
pub fn operator(report: &mut Report) {
    let whole = report.fact("accept.us") + report.fact("delta.create.us");
    let mean = whole * CHANGES_PER_DAY / SECONDS_PER_DAY;
    let delta = report.fact("delta.bytes") * CHANGES_PER_DAY / SECONDS_PER_DAY;
    let snapshot = report.fact("snapshot.bytes") * CHANGES_PER_DAY / SECONDS_PER_DAY;
    head(report);
    row(
        report,
        "Accepting changes, all at one host",
        "(apply + delta + digest) x 1,600 / 86,400",
        mean,
        Limit::Processor,
    );
    row(
        report,
        "Storing each delta, mean",
        "mean x 1,600 / 86,400",
        delta,
        Limit::Network,
    );
    row(
        report,
        "Storing each snapshot (today), mean",
        "bytes x 1,600 / 86,400",
        snapshot,
        Limit::Network,
    );
    report.line(&format!(
        "\nOne change takes {} ms of processor time; storing the snapshot takes {} s at 15 KB/s.",
        number(whole / 1_000.0),
        number(report.fact("snapshot.bytes") / 15_000.0)
    ));
}
