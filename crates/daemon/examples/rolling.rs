//! Measures how stops, withdrawals, drains and crashes affect connected callers.
//!
//! Six hosts in three data centres and nine backend servers talk real HTTP on loopback addresses.
//! The program prints a table and exits with a failure if a target is missed.

mod rolling {
    pub mod fleet;
    pub mod load;
    pub mod report;
    pub mod transfer;
}

use azurenotch_config::{change::Change, snapshot::KeyHash};
use rolling::{
    fleet::{Fleet, HOSTS, Result, look_up},
    load::{Load, Tally},
    report::Report,
    transfer::Transfers,
};
use std::{
    net::SocketAddr,
    process::ExitCode,
    time::{Duration, Instant},
};
use tokio::time;

/// Seed of the random choices of the platform stand-in and the backend servers.
const SEED: u64 = 7;
/// Callers, each with 25 requests a second.
const CALLERS: usize = 24;
/// Target for the time until withdrawals and drains take effect.
const MAX_EFFECT_DELAY: Duration = Duration::from_secs(5);
/// Largest share of requests within rate that the contract allows to be refused.
const MAX_REFUSED_SHARE: f64 = 0.001;
/// Keys of the two workspaces.
const KEYS: [(&str, &str); 2] = [("correios", "key-of-correios"), ("hoteis", "key-of-hoteis")];
/// Timeout for look-ups to list or drop a host, and for a change to be in force.
const FLEET_TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::main]
async fn main() -> ExitCode {
    println!("seed {SEED}");
    let started = Instant::now();
    let mut report = Report::default();
    let result = run(&mut report).await;
    let met = report.finish();
    println!("{:.1} s", started.elapsed().as_secs_f64());
    if let Err(error) = &result {
        eprintln!("rolling: {error}");
    }
    if result.is_ok() && met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run(report: &mut Report) -> Result<()> {
    let mut fleet = Fleet::start(SEED).await?;
    configure(&fleet).await?;
    let load = Load::start(CALLERS, KEYS[0].1, fleet.caller_addresses());
    time::sleep(Duration::from_secs(6)).await;
    load.next().await;
    time::sleep(Duration::from_secs(6)).await;
    let baseline = load.next().await;
    report.note("load without rolling", &baseline);
    roll(report, &mut fleet, &load, &baseline).await?;
    withdraw(report, &fleet).await?;
    load.next().await;
    drain(report, &fleet, &load).await?;
    let holder = fleet.holder("budget").ok_or("no host holds the budgets")?;
    crash(report, &mut fleet, &load, holder).await?;
    let other = fleet.hosts.keys().next().copied().ok_or("no host runs")?;
    crash(report, &mut fleet, &load, other).await?;
    load.stop().await;
    Ok(())
}

async fn configure(fleet: &Fleet) -> Result<()> {
    let text = fleet.document.clone();
    let expect = azurenotch_wire::version::Version::default();
    let (mut version, _) = fleet.change(&Change::Apply { text, expect }).await?;
    for (workspace, key) in KEYS {
        let grant = Change::GrantKey {
            hash: KeyHash::of(key.as_bytes()),
            workspace: workspace.into(),
            name: "rolling".to_owned(),
        };
        (version, _) = fleet.change(&grant).await?;
    }
    if fleet.in_force(version, FLEET_TIMEOUT).await {
        Ok(())
    } else {
        Err("the configuration is not in force".into())
    }
}

/// Replaces every host in turn under load.
async fn roll(report: &mut Report, fleet: &mut Fleet, load: &Load, baseline: &Tally) -> Result<()> {
    let (mut longest_stop, mut longest_listing_delay) = (Duration::ZERO, Duration::ZERO);
    for (name, data_centre) in HOSTS {
        let host = fleet.hosts.remove(name).ok_or("the host does not run")?;
        let addresses = host.addresses();
        longest_stop = longest_stop.max(host.stop().await?);
        fleet.publish();
        let started = Instant::now();
        fleet.add(name, data_centre, addresses).await?;
        let client = client_of(data_centre);
        while !listed_by_all(fleet, addresses[0], client).await {
            if started.elapsed() > FLEET_TIMEOUT {
                return Err(format!("not all look-ups list {name}").into());
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        longest_listing_delay = longest_listing_delay.max(started.elapsed());
    }
    time::sleep(Duration::from_secs(2)).await;
    let tally = load.next().await;
    report.add("rolling: requests cut", tally.cut, "0", tally.cut == 0);
    report.note("rolling: all answers", &tally);
    let refused = tally.refused_share();
    let measured = format!("{:.3} %", refused * 100.0);
    report.add(
        "rolling: refused within rate",
        measured,
        "0.1 %",
        refused <= MAX_REFUSED_SHARE,
    );
    for (name, quantile) in [("50th", 0.5), ("99th", 0.99)] {
        let (rolling, baseline) = (tally.quantile_ms(quantile), baseline.quantile_ms(quantile));
        let measured = format!(
            "{rolling:.1} ms, {baseline:.1} without: x{:.2}",
            rolling / baseline
        );
        report.note(&format!("rolling: {name} percentile of latency"), measured);
    }
    report.note(
        "rolling: longest stop",
        format!("{:.1} s", longest_stop.as_secs_f64()),
    );
    let measured = format!("{:.1} s", longest_listing_delay.as_secs_f64());
    report.note("rolling: longest time until a new host is named", measured);
    Ok(())
}

/// Withdraws a key while its connections are open and its downloads run.
async fn withdraw(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let (workspace, key) = KEYS[1];
    let load = Load::start(CALLERS, key, fleet.caller_addresses());
    time::sleep(Duration::from_secs(4)).await;
    let transfers = Transfers::start(&fleet.caller_addresses(), key).await;
    time::sleep(Duration::from_secs(1)).await;
    let running = transfers.running();
    load.next().await;
    let change = Change::WithdrawKey {
        workspace: workspace.into(),
        name: "rolling".to_owned(),
    };
    let (_, accepted) = fleet.change(&change).await?;
    time::sleep(MAX_EFFECT_DELAY + Duration::from_secs(1)).await;
    let tally = load.next().await;
    load.stop().await;
    let last = tally.last_sent.map_or(Duration::ZERO, |sent| {
        sent.saturating_duration_since(accepted)
    });
    let measured = format!("{} ms, then {tally}", last.as_millis());
    let stopped = tally
        .refused
        .get("withdrawn")
        .is_some_and(|count| *count > 0);
    report.add(
        "withdrawal: last request accepted",
        measured,
        "5 s",
        stopped && last <= MAX_EFFECT_DELAY,
    );
    let ended = transfers.last_end(accepted);
    let measured = ended.map_or("not ended".to_owned(), |it| {
        format!("{} ms, {running} downloads", it.as_millis())
    });
    let met = running > 0 && ended.is_some_and(|ended| ended <= MAX_EFFECT_DELAY);
    report.add("withdrawal: end of the last transfer", measured, "5 s", met);
    Ok(())
}

/// Drains a backend server under load.
async fn drain(report: &mut Report, fleet: &Fleet, load: &Load) -> Result<()> {
    let name = "consulta-norte-1";
    let change = Change::Drain {
        server: name.into(),
        draining: true,
    };
    let received = || fleet.servers[name].counter().received;
    let before = received();
    let (_, accepted) = fleet.change(&change).await?;
    let mut last = (received(), Duration::ZERO);
    while accepted.elapsed() < MAX_EFFECT_DELAY + Duration::from_secs(1) {
        let count = received();
        if count > last.0 {
            last = (count, accepted.elapsed());
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    let tally = load.next().await;
    let measured = format!("{} ms", last.1.as_millis());
    report.add(
        "drain: last new request",
        measured,
        "5 s",
        before > 0 && last.1 <= MAX_EFFECT_DELAY,
    );
    report.add(
        "drain: requests cut",
        tally.cut + tally.failed,
        "0",
        tally.cut + tally.failed == 0,
    );
    Ok(())
}

/// Crashes a host under load.
async fn crash(
    report: &mut Report,
    fleet: &mut Fleet,
    load: &Load,
    name: &'static str,
) -> Result<()> {
    time::sleep(Duration::from_secs(2)).await;
    let before = load.next().await;
    let host = fleet.hosts.remove(name).ok_or("the host does not run")?;
    let data_centre = HOSTS.iter().find(|(host, _)| *host == name);
    let client = client_of(data_centre.map_or("", |(_, data_centre)| data_centre));
    let address = host.address();
    drop(host);
    let crashed = Instant::now();
    while listed_by_any(fleet, address, client).await {
        if crashed.elapsed() > FLEET_TIMEOUT {
            return Err("look-ups still list the crashed host".into());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    let measured = format!("{:.1} s", crashed.elapsed().as_secs_f64());
    report.note(
        &format!("crash of {name}: time until look-ups leave the host out"),
        measured,
    );
    time::sleep(Duration::from_secs(2)).await;
    let after = load.next().await;
    for (phase, tally) in [("before", &before), ("after", &after)] {
        let refused = tally.refused_share();
        let measured = format!("{:.3} %: {tally}", refused * 100.0);
        let line = format!("crash of {name}: refused within rate {phase}");
        report.add(&line, measured, "0.1 %", refused <= MAX_REFUSED_SHARE);
    }
    Ok(())
}

/// Returns a client whose look-ups list the hosts of a data centre first.
fn client_of(data_centre: &str) -> &'static str {
    match data_centre {
        "norte-1" => "10.1.0.1",
        "centro-1" => "10.2.0.1",
        _ => "10.3.0.1",
    }
}

async fn listed_by_all(fleet: &Fleet, address: SocketAddr, client: &str) -> bool {
    for host in fleet.caller_addresses() {
        if !lists(host, address, client).await {
            return false;
        }
    }
    true
}

async fn listed_by_any(fleet: &Fleet, address: SocketAddr, client: &str) -> bool {
    for host in fleet.caller_addresses() {
        if lists(host, address, client).await {
            return true;
        }
    }
    false
}

async fn lists(host: SocketAddr, address: SocketAddr, client: &str) -> bool {
    look_up(host, client)
        .await
        .is_ok_and(|answer| answer.hosts.iter().any(|choice| choice.address == address))
}
