//! What the lines of a request say about its cause.

use super::Line;

/// Returns what is known of the cause, a sentence each.
pub(super) fn causes(course: &[Line], before: &[Line], around: &[Line]) -> Vec<String> {
    let mut causes = Vec::new();
    let Some(end) = course
        .iter()
        .rfind(|line| line.message == "request: answered")
    else {
        causes.push(
            "No line tells of its answer: the caller left, the host ended first, or the line was \
             dropped."
                .to_owned(),
        );
        return causes;
    };
    let number = |name: &str| end.number(name).unwrap_or(0);
    let text = |name: &str| end.text(name).unwrap_or("?").to_owned();
    causes.extend(course.iter().filter_map(attempt));
    let reason = end.text("reason").unwrap_or("");
    causes.push(match reason {
        "server" => format!(
            "{} answered with status {} after {} ms; the objective is {} ms. Expected were {} ms, \
             {} ms of them in its queue.",
            text("server"),
            number("status"),
            number("ms"),
            number("objective-ms"),
            number("expected-ms"),
            number("wait-ms"),
        ),
        "overload" => overload(end),
        "quota" => format!(
            "Workspace {} was over its rate and burst over all hosts, as this host counted; the \
             contract is in configuration {}.",
            text("workspace"),
            number("configuration"),
        ),
        "stale-keys" => {
            "The host did not know of changes of keys for too long to trust them.".to_owned()
        }
        "no-server" => "No backend server of the service might take requests.".to_owned(),
        "no-configuration" => "The host had no configuration yet.".to_owned(),
        "leaving" => "The host was stopping and might have ended before the request.".to_owned(),
        "no-memory" => "The memory for bodies was in use by other requests.".to_owned(),
        "timeout" => format!(
            "The time of the route was over after {} ms; the answer was expected in {} ms.",
            number("ms"),
            number("expected-ms"),
        ),
        "server-failed" => "A backend server failed, and the request was not to be sent again: it \
                            may run only once, or attempts, budget or time were used up."
            .to_owned(),
        "denied" => format!(
            "Configuration {} does not allow it: no route, unknown key or ambiguous path.",
            number("configuration"),
        ),
        other => format!("The host answered itself: {other}."),
    });
    causes.push(
        match end.fields.get("ran").and_then(serde_json::Value::as_bool) {
            Some(false) => "No backend server ran it.".to_owned(),
            Some(true) => "A backend server ran it or may have run it.".to_owned(),
            None => "The log does not say whether it ran.".to_owned(),
        },
    );
    causes.extend(surroundings(before, around));
    causes
}

/// Returns why a send brought no answer.
fn attempt(line: &Line) -> Option<String> {
    if line.message != "attempt: failed" {
        return None;
    }
    let server = line.text("server")?;
    let ending = match line.text("ending")? {
        "timeout" => "did not answer in time",
        "reset" => "closed the connection before its answer",
        "broken-off" => "broke off its answer",
        "not-http" => "sent something that is no answer",
        "crossed" => "sent the answer of another request",
        "unsigned" => "answered without a signature",
        "declined" => "declined and did not run it",
        "misdirected" => "was another server than the one meant",
        "unreachable" => "could not be reached",
        "failed" => "failed",
        other => other,
    };
    let send = line.number("send").unwrap_or(0);
    Some(format!("Send {send}: {server} {ending}."))
}

fn overload(end: &Line) -> String {
    let number = |name: &str| end.number(name).unwrap_or(0);
    let Some(server) = end.text("server") else {
        return "All sends were declined, and the budget of repeats was used up.".to_owned();
    };
    let age = end.number("load-age-ms");
    let age = age.map_or("not told".to_owned(), |age| format!("told {age} ms before"));
    format!(
        "The best place was {server}, with a queue of {} ms (load {age}) and an answer expected in \
         {} ms; the objective is {} ms, {} ms were left, and the rank is {}.",
        number("wait-ms"),
        number("expected-ms"),
        number("objective-ms"),
        number("left-ms"),
        number("rank"),
    )
}

/// Returns what lasted or happened near the request.
fn surroundings(before: &[Line], around: &[Line]) -> Vec<String> {
    let mut found = Vec::new();
    for line in before {
        let subject = line.text("subject").unwrap_or("?");
        match line.message.as_str() {
            "feed: store reads failing" => found.push(format!(
                "{} had lost the store ({subject}) by then.",
                line.host
            )),
            "orders: evacuation order received" if line.fields.get("on") == Some(&true.into()) => {
                let centre = line.text("data-centre").unwrap_or("?");
                found.push(format!("Data centre {centre} was evacuated."));
            }
            "entry: stopping" => found.push(format!("{} was stopping.", line.host)),
            _ => {}
        }
    }
    let count = |message: &str| around.iter().filter(|it| it.message == message).count();
    for (message, what) in [
        (
            "attempt: failed",
            "other sends to its servers without an answer",
        ),
        (
            "attempt: slower than expected",
            "slow answers of its servers",
        ),
        ("servers: server removed", "losses of its servers"),
        ("hosts: unreachable peer removed", "losses of hosts"),
        ("journal: dropped", "gaps in the log"),
    ] {
        let count = count(message);
        if count > 0 {
            found.push(format!("Near it: {count} {what}."));
        }
    }
    found
}
