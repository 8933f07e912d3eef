//! Runs a small fleet in one process and checks the results for operators and callers.
//!
//! A platform stand-in, six backend servers and four daemons in two data centres use real HTTP on
//! loopback addresses. The program exits with a failure if any expectation does not hold.

mod fleet;
mod report;
mod traffic;

use azurenotch::{
    config::{
        change::Change,
        snapshot::{KeyHash, MoveState},
    },
    core::process::timeline,
    wire::version::Version,
};
use fleet::{Fleet, Result, wait};
use report::Report;
use std::{process::ExitCode, time::Duration};
use tokio::time;
use traffic::{Load, Tally, get, post};

/// Seed of the random choices, fixed so that runs can be compared.
const SEED: u64 = 7;
/// Access key of workspace `correios`.
const CORREIOS_KEY: &str = "3f0c9a52be0d4f7b8f5a6e1c2d3b4a5968778695a4b3c2d1e0f1021324354657";
/// Access key of workspace `hoteis`.
const HOTEIS_KEY: &str = "7c1d2e3f405162738495a6b7c8d9eafb0c1d2e3f405162738495a6b7c8d9eafb";
/// Callers at each host during the version move.
const MOVE_CALLERS_PER_HOST: usize = 24;
/// Deadline of the version move.
const MOVE_DEADLINE: Duration = Duration::from_secs(25);
/// Time within which a change has to be in force on every host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> ExitCode {
    let mut report = Report::new();
    println!("seed {SEED}");
    match run(&mut report).await {
        Ok(()) if report.finish() => ExitCode::SUCCESS,
        Ok(()) => ExitCode::FAILURE,
        Err(error) => {
            report.finish();
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(report: &mut Report) -> Result<()> {
    let mut fleet = Fleet::start(SEED).await?;
    unconfigured(report, &fleet).await?;
    configure(report, &fleet).await?;
    look_ups(report, &fleet).await?;
    keyed_requests(report, &fleet).await?;
    let load = start_move(&fleet).await?;
    refusals(report, &fleet).await?;
    rate(report, &fleet).await?;
    withdrawal(report, &fleet).await?;
    drain(report, &fleet).await?;
    finish_move(report, &fleet, load).await?;
    graceful_stop(report, &mut fleet).await?;
    print_timeline(&fleet).await
}

async fn unconfigured(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let answer = get(fleet.caller_addresses()[0], "/consulta/notices/1", None).await?;
    report.expect(
        "a host without a configuration refuses, not run",
        answer.is_refusal(503, "no-configuration", "not-run"),
        &answer,
    );
    Ok(())
}

async fn configure(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let text = fleet.document.clone();
    let apply = Change::Apply {
        text,
        expect: Version::default(),
    };
    let (version, took) = fleet.change(&apply).await?;
    report.expect(
        "a configuration is in force on every host within 5 s",
        took <= IN_FORCE_TIMEOUT,
        format_args!("version {version} after {} ms", took.as_millis()),
    );
    let stale = fleet.change(&apply).await;
    report.expect(
        "a second operator with the old version gets a conflict",
        stale
            .as_ref()
            .is_err_and(|error| error.to_string().contains("409")),
        stale.map_or_else(|error| error.to_string(), |_| "accepted".to_owned()),
    );
    for (workspace, key) in [("correios", CORREIOS_KEY), ("hoteis", HOTEIS_KEY)] {
        let grant = Change::GrantKey {
            hash: KeyHash::of(key.as_bytes()),
            workspace: workspace.into(),
            name: "demo".to_owned(),
        };
        let (version, took) = fleet.change(&grant).await?;
        report.expect(
            &format!("a key of {workspace} is granted"),
            took <= IN_FORCE_TIMEOUT,
            format_args!("version {version} after {} ms", took.as_millis()),
        );
    }
    Ok(())
}

async fn look_ups(report: &mut Report, fleet: &Fleet) -> Result<()> {
    for (client, region) in [("127.0.0.1", "n"), ("10.2.0.9", "s")] {
        let mut answer = fleet.look_up(client).await?;
        // A host lists another one only after that one has answered heartbeats.
        for _ in 0..100 {
            if answer.hosts.len() == 4 {
                break;
            }
            time::sleep(Duration::from_millis(50)).await;
            answer = fleet.look_up(client).await?;
        }
        let hosts = answer
            .hosts
            .iter()
            .map(|choice| choice.host.as_str())
            .collect::<Vec<_>>();
        report.expect(
            &format!("a look-up of {client} names its own region first"),
            hosts.len() == 4 && hosts[..2].iter().all(|host| host.starts_with(region)),
            hosts.join(" "),
        );
    }
    Ok(())
}

async fn keyed_requests(report: &mut Report, fleet: &Fleet) -> Result<()> {
    // Budget shares arrive with the first rounds of the budget role and start without any burst.
    let mut consecutive = 0;
    let mut attempts = 0;
    while consecutive < 40 && attempts < 1000 {
        for host in fleet.caller_addresses() {
            let answer = get(host, "/consulta/labels/1", Some(CORREIOS_KEY)).await?;
            consecutive = if answer.status == 200 {
                consecutive + 1
            } else {
                0
            };
            attempts += 1;
        }
        time::sleep(Duration::from_millis(40)).await;
    }
    report.expect(
        "every host gets a share of the budget within 10 s",
        consecutive >= 40,
        format_args!("40 requests in a row answered after {attempts}"),
    );
    let mut tally = Tally::default();
    for round in 0..25 {
        for host in fleet.caller_addresses() {
            tally.count(
                &get(
                    host,
                    &format!("/consulta/labels/{round}"),
                    Some(CORREIOS_KEY),
                )
                .await?,
            );
            time::sleep(Duration::from_millis(5)).await;
        }
    }
    report.expect(
        "requests with a key are answered",
        tally.answered == 100,
        &tally,
    );
    let posts = (0..20).map(|number| format!("/registo/slots/{number}"));
    let mut tally = Tally::default();
    for (path, host) in posts.zip(fleet.caller_addresses().into_iter().cycle()) {
        tally.count(&post(host, &path, CORREIOS_KEY).await?);
    }
    let runs: usize = ["registo-a", "registo-b"]
        .iter()
        .map(|name| fleet.servers[name].receipts().len())
        .sum();
    report.expect(
        "a registration runs at most once",
        tally.answered == 20 && runs == 20,
        format_args!("{tally}; {runs} runs"),
    );
    let receipts = fleet
        .servers
        .values()
        .flat_map(azurenotch_test_support::backend::Server::receipts);
    let leaked = receipts
        .filter(|receipt| receipt.headers.contains_key("authorization"))
        .count();
    report.expect(
        "no backend server sees a key",
        leaked == 0,
        format_args!("{leaked} keys seen"),
    );
    Ok(())
}

async fn refusals(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let host = fleet.caller_addresses()[0];
    let cases = [
        ("/consulta/labels/1", None, 401, "no-key"),
        ("/consulta/labels/1", Some("wrong"), 401, "bad-key"),
        ("/nothing", Some(CORREIOS_KEY), 404, "no-route"),
    ];
    for (path, key, status, reason) in cases {
        let answer = get(host, path, key).await?;
        report.expect(
            &format!("{reason} is refused, not run"),
            answer.is_refusal(status, reason, "not-run"),
            &answer,
        );
    }
    let open = get(host, "/consulta/notices/1", None).await?;
    report.expect("an open route needs no key", open.status == 200, &open);
    Ok(())
}

async fn rate(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let load = Load::start(
        fleet.caller_addresses(),
        "/consulta/labels/1",
        HOTEIS_KEY,
        2,
    );
    time::sleep(Duration::from_secs(2)).await;
    let (tally, took) = load.stop().await;
    let bound = 20.0 + 20.0 * took.as_secs_f64();
    report.expect(
        "no workspace exceeds its rate and burst over all hosts",
        f64::from(tally.answered) <= bound && tally.answered > 0,
        format_args!("{tally}; bound {bound:.0} in {:.1} s", took.as_secs_f64()),
    );
    report.expect(
        "a refusal for the rate has a retry-after header",
        tally.refused.contains_key("rate") && tally.without_retry_after == 0,
        format_args!("{} without it", tally.without_retry_after),
    );
    Ok(())
}

async fn withdrawal(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let withdraw = Change::WithdrawKey {
        workspace: "hoteis".into(),
        name: "demo".to_owned(),
    };
    let (_, took) = fleet.change(&withdraw).await?;
    let mut refused = 0;
    for host in fleet.caller_addresses() {
        let answer = get(host, "/consulta/labels/1", Some(HOTEIS_KEY)).await?;
        refused += usize::from(answer.is_refusal(401, "withdrawn", "not-run"));
    }
    report.expect(
        "a withdrawn key stops working on every host within 5 s",
        refused == 4 && took <= IN_FORCE_TIMEOUT,
        format_args!("{refused} of 4 hosts after {} ms", took.as_millis()),
    );
    Ok(())
}

async fn drain(report: &mut Report, fleet: &Fleet) -> Result<()> {
    let load = Load::start(
        fleet.caller_addresses(),
        "/consulta/labels/1",
        CORREIOS_KEY,
        1,
    );
    let change = Change::Drain {
        server: "consulta-a".into(),
        draining: true,
    };
    let (_, took) = fleet.change(&change).await?;
    let before = fleet.servers["consulta-a"].receipts().len();
    time::sleep(Duration::from_millis(500)).await;
    let after = fleet.servers["consulta-a"].receipts().len();
    let (tally, _) = load.stop().await;
    report.expect(
        "a draining backend server gets no new work",
        after == before && took <= IN_FORCE_TIMEOUT,
        format_args!("{} requests after {} ms", after - before, took.as_millis()),
    );
    report.expect("a drain cuts no request", tally.is_clean(), &tally);
    let undo = Change::Drain {
        server: "consulta-a".into(),
        draining: false,
    };
    fleet.change(&undo).await?;
    Ok(())
}

/// Starts a version move under load, which continues during the following steps.
async fn start_move(fleet: &Fleet) -> Result<Load> {
    let load = Load::start(
        fleet.caller_addresses(),
        "/consulta/labels/1",
        CORREIOS_KEY,
        MOVE_CALLERS_PER_HOST,
    );
    let start = Change::StartMove {
        service: "consulta".into(),
        to: "2".into(),
        deadline: MOVE_DEADLINE,
    };
    fleet.change(&start).await?;
    Ok(load)
}

async fn finish_move(report: &mut Report, fleet: &Fleet, load: Load) -> Result<()> {
    let mut ended = None;
    for _ in 0..200 {
        let snapshot = fleet.snapshot().await?;
        let latest = snapshot.moves.get("consulta").cloned();
        if latest
            .as_ref()
            .is_some_and(|latest| latest.state != MoveState::Running)
        {
            ended = latest;
            break;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    let latest = match ended {
        Some(ended) => ended,
        None => fleet.snapshot().await?.moves["consulta"].clone(),
    };
    report.expect(
        "a good version takes over by its deadline",
        latest.state == MoveState::Done,
        format_args!("{}: {}", latest.state, latest.note),
    );
    // Hosts that have not adopted the end of the move still use the old version.
    let version = fleet.snapshot().await?.version;
    wait(IN_FORCE_TIMEOUT, || {
        fleet
            .daemons
            .values()
            .all(|it| it.node().version() >= version)
    })
    .await;
    let old = || {
        let names = ["consulta-a", "consulta-b"];
        names
            .iter()
            .map(|name| fleet.servers[name].receipts().len())
            .sum::<usize>()
    };
    time::sleep(Duration::from_millis(100)).await;
    let before = old();
    time::sleep(Duration::from_millis(500)).await;
    let after = old();
    let (tally, _) = load.stop().await;
    report.expect(
        "after the move the old version gets no work",
        after == before,
        format_args!("{} requests", after - before),
    );
    report.expect("a version move fails no request", tally.is_clean(), &tally);
    Ok(())
}

async fn graceful_stop(report: &mut Report, fleet: &mut Fleet) -> Result<()> {
    let load = Load::start(
        fleet.caller_addresses(),
        "/consulta/labels/1",
        CORREIOS_KEY,
        1,
    );
    let daemon = fleet.daemons.remove("s2").ok_or("host s2 is missing")?;
    let address = daemon.addresses().0;
    daemon.shut_down().await;
    let (tally, _) = load.stop().await;
    report.expect("a planned stop cuts no request", tally.broken == 0, &tally);
    let answer = fleet.look_up("10.2.0.9").await?;
    report.expect(
        "a stopped host is left out of look-ups",
        answer.hosts.iter().all(|choice| choice.address != address),
        format_args!("{} hosts named", answer.hosts.len()),
    );
    Ok(())
}

async fn print_timeline(fleet: &Fleet) -> Result<()> {
    let events = fleet
        .events()
        .await?
        .into_iter()
        .map(|events| events.events)
        .collect();
    println!("\ntimeline");
    for event in timeline::merge(events) {
        println!(
            "{:>20}  {:<4} {}",
            event.stamp.to_string(),
            event.host,
            event.kind
        );
    }
    Ok(())
}
