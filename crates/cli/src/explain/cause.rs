//! Derives the cause of a request's outcome from its log lines.

use super::Line;

/// Describes the known causes, one sentence each.
pub(super) fn causes(course: &[Line], before: &[Line], around: &[Line]) -> Vec<String> {
    let mut causes = Vec::new();
    let Some(end) = course
        .iter()
        .rfind(|line| line.message == "request: answered")
    else {
        causes.push(
            "The log contains no answer: the caller disconnected, the host ended first, or the log \
             line was dropped."
                .to_owned(),
        );
        return causes;
    };
    let number = |name: &str| end.number(name).unwrap_or(0);
    let text = |name: &str| end.text(name).unwrap_or("?").to_owned();
    causes.extend(course.iter().filter_map(describe_failed_send));
    let reason = end.text("reason").unwrap_or("");
    causes.push(match reason {
        "server" => format!(
            "{} answered with status {} after {} ms; the objective is {} ms. The expected latency was \
             {} ms, of which {} ms in its queue.",
            text("server"),
            number("status"),
            number("ms"),
            number("objective-ms"),
            number("expected-ms"),
            number("wait-ms"),
        ),
        "overload" => describe_overload(end),
        "quota" => format!(
            "Workspace {} exceeded its rate and burst, as counted by this host for all hosts; the \
             contract is in configuration {}.",
            text("workspace"),
            number("configuration"),
        ),
        "stale-keys" => {
            "The host had received no updates of the keys for too long to rely on them.".to_owned()
        }
        "no-server" => "No backend server of the service was eligible for the request.".to_owned(),
        "no-configuration" => "The host had not received a configuration yet.".to_owned(),
        "starting" => "The host had just started and did not know the rejected requests yet.".to_owned(),
        "leaving" => "The host was stopping and might have ended before the request completed.".to_owned(),
        "connection-limit" => format!(
            "All connections that the host may have had requests; this one was accepted {} ms before.",
            number("connection-ms"),
        ),
        "paused" => {
            "All backend servers that could take the request had asked for a pause.".to_owned()
        }
        "limited" => {
            "All backend servers that could take the request had named a limit that was used up.".to_owned()
        }
        "no-memory" => "Other requests used up the memory for bodies.".to_owned(),
        "timeout" => format!(
            "The timeout of the route expired after {} ms; the answer was expected in {} ms.",
            number("ms"),
            number("expected-ms"),
        ),
        "server-failed" => "A backend server failed, and the request could not be sent again: it may \
                            run only once, or attempts, budget or time were used up."
            .to_owned(),
        "denied" => format!(
            "Configuration {} does not allow the request: no route, unknown key or ambiguous path.",
            number("configuration"),
        ),
        other => format!("The host itself answered the request: {other}."),
    });
    causes.push(
        match end.fields.get("ran").and_then(serde_json::Value::as_bool) {
            Some(false) => "No backend server ran the request.".to_owned(),
            Some(true) => "A backend server ran the request or may have run it.".to_owned(),
            None => "The log does not say whether a backend server ran the request.".to_owned(),
        },
    );
    causes.extend(describe_context(before, around));
    causes
}

/// Describes how a send failed; `None` if the line reports no failed send.
fn describe_failed_send(line: &Line) -> Option<String> {
    if line.message != "attempt: failed" {
        return None;
    }
    let server = line.text("server")?;
    let outcome = match line.text("ending")? {
        "timeout" => "did not answer in time",
        "reset" => "closed the connection before its answer",
        "broken-off" => "sent an incomplete answer",
        "not-http" => "sent data that is not an HTTP response",
        "crossed" => "sent the answer to another request",
        "unsigned" => "sent an answer without a signature",
        "declined" => "declined the request and did not run it",
        "misdirected" => "was not the intended server",
        "unreachable" => "could not be reached",
        "failed" => "failed",
        other => other,
    };
    let send = line.number("send").unwrap_or(0);
    Some(format!("Send {send}: {server} {outcome}."))
}

fn describe_overload(end: &Line) -> String {
    let number = |name: &str| end.number(name).unwrap_or(0);
    let Some(server) = end.text("server") else {
        return "All sends were declined, and the retry budget was used up.".to_owned();
    };
    let age = end.number("load-age-ms");
    let age = age.map_or("none".to_owned(), |age| format!("{age} ms old"));
    format!(
        "The best server was {server}, with a queue of {} ms (load report: {age}) and an answer \
         expected in {} ms; the objective is {} ms, {} ms were left, and the rank is {}.",
        number("wait-ms"),
        number("expected-ms"),
        number("objective-ms"),
        number("left-ms"),
        number("rank"),
    )
}

/// Describes the state of the hosts and the number of failures near the request.
fn describe_context(before: &[Line], around: &[Line]) -> Vec<String> {
    let mut found = Vec::new();
    for line in before {
        let subject = line.text("subject").unwrap_or("?");
        match line.message.as_str() {
            "feed: store reads failing" => found.push(format!(
                "{} could not read the store ({subject}) at that time.",
                line.host
            )),
            "orders: evacuation order received" if line.fields.get("on") == Some(&true.into()) => {
                let centre = line.text("data-centre").unwrap_or("?");
                found.push(format!(
                    "An evacuation order was in force for data centre {centre}."
                ));
            }
            "entry: stopping" => found.push(format!("{} was stopping.", line.host)),
            _ => {}
        }
    }
    let count = |message: &str| around.iter().filter(|it| it.message == message).count();
    for (message, what) in [
        (
            "attempt: failed",
            "other failed sends to its backend servers",
        ),
        (
            "attempt: slower than expected",
            "answers of its backend servers that were slower than expected",
        ),
        ("servers: server removed", "removals of its backend servers"),
        (
            "hosts: unreachable peer removed",
            "removals of unreachable hosts",
        ),
        (
            "journal: dropped",
            "gaps in the logs, where lines were dropped",
        ),
    ] {
        let count = count(message);
        if count > 0 {
            found.push(format!("Near the request: {count} {what}."));
        }
    }
    found
}
