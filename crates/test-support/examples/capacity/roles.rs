//! Load of the roles at the target size, calculated from the measured slopes.

use super::{
    configuration::{BLOCKS, CHANGES_PER_DAY},
    holders, limits,
    report::{Report, grouped, number},
};
use azurenotch_core::process::membership::PROBE_FANOUT;

pub const HOSTS: f64 = 3_100.0;
pub const DATA_CENTRES: f64 = 24.0;
pub const HOSTS_PER_CENTRE: f64 = 130.0;
pub const SLOTS: f64 = 3_200.0;
pub const WORKSPACES: f64 = 10_000.0;
/// Assumed workspaces with traffic at one host; the next constant is for one data centre.
pub const ACTIVE_WORKSPACES_PER_HOST: f64 = 100.0;
pub const ACTIVE_WORKSPACES_PER_CENTRE: f64 = 1_000.0;
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Look-ups a second over the fleet.
const LOOK_UPS_PER_SECOND: f64 = 1_300_000.0;
/// Candidates of a lease, if not every host watches it.
pub const CANDIDATES: f64 = 3.0;
/// Bytes of the seven segments that open and close a connection, 52 bytes of headers each.
const CONNECTION_BYTES: f64 = 364.0;
/// Probes per second to other data centres; their connections are closed before the next probe.
const FRESH_PROBES_PER_SECOND: f64 = 2.0;

/// Budget that a result is compared with.
#[derive(Debug, Clone, Copy)]
pub enum Limit {
    /// Microseconds of processor time a second: 1.8 % of a core.
    Processor,
    /// Bytes a second.
    Network,
    /// Bytes of memory.
    Memory,
    /// Reads a second of the platform.
    Reads,
    /// Writes a second of the platform; "several hundred" is taken as 300.
    Writes,
}

impl Limit {
    pub const fn value(self) -> f64 {
        match self {
            Self::Processor => 18_000.0,
            Self::Network => 15_000.0,
            Self::Memory => 256e6,
            Self::Reads => 2_000.0,
            Self::Writes => 300.0,
        }
    }

    pub const fn unit(self) -> &'static str {
        match self {
            Self::Processor => "us/s",
            Self::Network => "B/s",
            Self::Memory => "B",
            Self::Reads => "reads/s",
            Self::Writes => "writes/s",
        }
    }
}

/// Calculates the load of all roles.
pub fn run(report: &mut Report) {
    report.part("Roles at the target size");
    report.heading("Every host");
    host(report);
    report.heading("Relay of a data centre");
    relay(report);
    report.heading("Holder of the budget role");
    holders::budget(report);
    report.heading("Planner");
    holders::planner(report);
    report.heading("Operator-facing host");
    holders::operator(report);
    report.heading("Platform: table, object store and host list");
    limits::platform(report);
    report.heading("Time until a change is in force at every host");
    limits::propagation(report);
    report.heading("Failures and restarts");
    limits::failures(report);
    report.heading("Fleet size at which today's code meets each limit");
    limits::order(report);
}

/// Starts a table of results.
pub fn head(report: &mut Report) {
    report.line("| Item | Formula | Result | Share of the budget |\n| --- | --- | ---: | ---: |");
}

/// Adds a result to the table and returns it.
pub fn row(report: &mut Report, item: &str, formula: &str, value: f64, limit: Limit) -> f64 {
    report.line(&format!(
        "| {item} | {formula} | {} {} | {} % |",
        number(value),
        limit.unit(),
        number(value / limit.value() * 100.0)
    ));
    value
}

fn host(report: &mut Report) {
    head(report);
    host_processor(report);
    host_network(report);
    host_memory(report);
    let room = Limit::Network.value() - heartbeat_bytes(report) - report.fact("exchange.bytes");
    let room = (room - report.fact("report.bytes.start")) / report.fact("report.bytes");
    let look_ups = LOOK_UPS_PER_SECOND / HOSTS;
    report.line(&format!(
        "\nThe network budget leaves room for reports of {} active workspaces a host and second. \
         Look-ups are not control work: {} a second at each host take {} us/s, {} % of a core.",
        grouped(room.floor()),
        number(look_ups),
        number(look_ups * report.fact("look-up.us")),
        number(look_ups * report.fact("look-up.us") / 1e4),
    ));
}

fn host_processor(report: &mut Report) {
    let fact = |name: &str| report.fact(name);
    let kept = PROBE_FANOUT as f64 - FRESH_PROBES_PER_SECOND;
    let exchange = fact("exchange.us") * kept + fact("exchange.fresh.us") * FRESH_PROBES_PER_SECOND;
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let items = [
        (
            "Heartbeats",
            "4 kept + 2 fresh exchanges, both ends",
            exchange,
        ),
        ("Membership", "line at 3,100", fact("membership.us")),
        (
            "Adoption by delta, mean",
            "(apply + adoption) x 1,600 / 86,400",
            (fact("delta.apply.us") + fact("adoption.us")) * changes,
        ),
        (
            "Groups for look-ups, each second",
            "point at 3,100",
            fact("groups.us"),
        ),
        (
            "Shares",
            "(usage + grant) at 10,000 workspaces",
            fact("shares.usage.us") + fact("shares.apply.us"),
        ),
        (
            "Report and grant",
            "codec x 100 active + exchange",
            fact("report.codec.us") * ACTIVE_WORKSPACES_PER_HOST + fact("exchange.us"),
        ),
    ];
    let roster = (fact("roster.decode.us") + fact("roster.take.us")) / 5.0;
    let decode = (fact("snapshot.decode.us") + fact("adoption.us")) * changes;
    sum(
        report,
        &items,
        "without host list and `Peers::publish`",
        Limit::Processor,
    );
    let item = "Today: host list, all of it every 5 s";
    row(
        report,
        item,
        "(decode + take) / 5",
        roster,
        Limit::Processor,
    );
    let item = "Today: adoption by snapshot, mean";
    let formula = "(decode + adoption) x 1,600 / 86,400";
    row(report, item, formula, decode, Limit::Processor);
}

fn host_network(report: &mut Report) {
    let fact = |name: &str| report.fact(name);
    let changes = 2.0 * CHANGES_PER_DAY / SECONDS_PER_DAY;
    let message = fact("report.bytes") * ACTIVE_WORKSPACES_PER_HOST + fact("report.bytes.start");
    let items = [
        (
            "Heartbeats",
            "12 exchanges + 4 connections",
            heartbeat_bytes(report),
        ),
        (
            "Deltas, received and handed on once, mean",
            "2 x mean x 1,600 / 86,400",
            fact("delta.bytes") * changes,
        ),
        (
            "Report and grant",
            "slope x 100 active + start + exchange",
            message + fact("exchange.bytes"),
        ),
    ];
    let roster = fact("roster.bytes") / 5.0;
    let snapshots = fact("snapshot.wire") * changes;
    sum(report, &items, "without host list", Limit::Network);
    let item = "Today: host list, all of it every 5 s";
    row(report, item, "bytes at 3,100 / 5", roster, Limit::Network);
    let item = "Today: whole snapshots, mean";
    row(
        report,
        item,
        "2 x `Fetched` x 1,600 / 86,400",
        snapshots,
        Limit::Network,
    );
}

fn host_memory(report: &mut Report) {
    let fact = |name: &str| report.fact(name);
    let items = [
        (
            "Snapshot",
            "2 decoded (during adoption) + encoded",
            2.0 * fact("snapshot.memory") + fact("snapshot.bytes"),
        ),
        (
            "Membership, heartbeats, time line",
            "line at 3,100 + full ring",
            fact("membership.bytes") + fact("timeline.bytes"),
        ),
        (
            "Look-up table",
            "point at 1.9 million blocks",
            fact("look-up.bytes"),
        ),
        (
            "Shares and keys",
            "10,000 workspaces, 20,000 keys",
            fact("shares.bytes") + fact("access.bytes"),
        ),
    ];
    let blocks = fact("blocks-memory") * BLOCKS as f64;
    sum(report, &items, "without requests", Limit::Memory);
    let item = "Today: client blocks in the snapshot";
    row(
        report,
        item,
        "slope x 1.9 million, held once",
        blocks,
        Limit::Memory,
    );
}

/// Adds results and their sum to the table.
fn sum(report: &mut Report, items: &[(&str, &str, f64)], without: &str, limit: Limit) {
    let mut sum = 0.0;
    for (item, formula, value) in items {
        sum += row(report, item, formula, *value, limit);
    }
    row(report, "**Sum**", without, sum, limit);
}

fn relay(report: &mut Report) {
    use Limit::{Network, Processor, Reads};
    let own = hosts_met_per_second();
    let delta = report.fact("delta.most");
    let bytes = own * delta;
    let snapshot = own * report.fact("snapshot.wire");
    let hand_out =
        report.fact("exchange.us") * HOSTS_PER_CENTRE * CHANGES_PER_DAY / SECONDS_PER_DAY;
    let watch = report.fact("lease.reads") * HOSTS_PER_CENTRE;
    head(report);
    row(report, "Polls of the head", "1 a second", 1.0, Reads);
    row(
        report,
        "Watching its lease, one data centre",
        "slope x 130 candidates",
        watch,
        Reads,
    );
    row(
        report,
        "Handing out to all 130 hosts, mean",
        "130 exchanges x 1,600 / 86,400",
        hand_out,
        Processor,
    );
    row(
        report,
        "Deltas in the second after a change",
        "8 hosts ask x largest delta",
        bytes,
        Network,
    );
    row(
        report,
        "Whole snapshots in that second (today)",
        "8 hosts ask x `Fetched`",
        snapshot,
        Network,
    );
}

/// Returns the bytes that heartbeats cost a host each second in a large fleet.
pub fn heartbeat_bytes(report: &Report) -> f64 {
    let probes = PROBE_FANOUT as f64;
    2.0 * probes * report.fact("exchange.bytes") + 2.0 * FRESH_PROBES_PER_SECOND * CONNECTION_BYTES
}

/// Returns how many hosts of its data centre a host exchanges heartbeats with in a second.
pub fn hosts_met_per_second() -> f64 {
    2.0 * (PROBE_FANOUT as f64 - FRESH_PROBES_PER_SECOND)
}
