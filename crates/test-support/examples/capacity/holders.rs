//! The leased roles and the operator-facing host at the target size.

use super::{
    configuration::CHANGES,
    report::{Report, number},
    roles::{
        ACTIVE_CENTRE, ACTIVE_HOST, DATA_CENTRES, DAY, HOSTS, HOSTS_OF_CENTRE, Limit, WORKSPACES,
        head, row,
    },
};

/// Works out the holder of the budget role at one level and at two levels.
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
            ACTIVE_HOST,
            cell * HOSTS * ACTIVE_CENTRE,
            HOSTS * ACTIVE_HOST,
        ),
        (
            "Fleet level",
            DATA_CENTRES,
            ACTIVE_CENTRE,
            fact("ledger-tick") * WORKSPACES,
            DATA_CENTRES * ACTIVE_CENTRE,
        ),
        (
            "Data-centre level",
            HOSTS_OF_CENTRE,
            ACTIVE_HOST,
            cell * HOSTS_OF_CENTRE * ACTIVE_CENTRE,
            HOSTS_OF_CENTRE * ACTIVE_HOST,
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

/// Works out the planner with evidence from every host and with sums of data centres.
pub fn planner(report: &mut Report) {
    let fact = |name: &str| report.fact(name);
    // A heartbeat's exchange with the answer as an acknowledgement and the report in its place.
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

/// Works out the host that accepts changes.
pub fn operator(report: &mut Report) {
    let whole = report.fact("accept.us") + report.fact("delta.create.us");
    let mean = whole * CHANGES / DAY;
    let delta = report.fact("delta.bytes") * CHANGES / DAY;
    let snapshot = report.fact("snapshot.bytes") * CHANGES / DAY;
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
