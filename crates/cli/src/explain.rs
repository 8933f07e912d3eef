//! Reconstructs the course of one request from the logs of all hosts.

mod cause;
mod line;

pub use self::line::Line;

use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
};
use time::{Duration, OffsetDateTime};

/// Events this long before the start of the request are still shown.
const MAX_TIME_BEFORE: Duration = Duration::seconds(5);
/// Events this long after the request's last line are still shown; the clocks of hosts differ.
const MAX_TIME_AFTER: Duration = Duration::seconds(1);
/// Largest number of related events that are shown per host.
const MAX_EVENTS_PER_HOST: usize = 12;

/// Lines of the logs of all hosts, in any order.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
}

impl Log {
    /// Parses the log lines in `text` and skips everything else.
    ///
    /// Parsing starts at each `{`: log collectors prefix lines with names, and some join the lines of
    /// several hosts.
    pub fn read(&mut self, text: &str) {
        for (start, _) in text.match_indices('{') {
            self.lines.extend(Line::parse(&text[start..]));
        }
    }

    /// Returns the number of parsed lines.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether no line was parsed.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Course of one request and the events that may explain it.
#[derive(Debug, Serialize)]
pub struct Explanation {
    id: String,
    /// Latest state that each involved host had logged when the request started, oldest first.
    before: Vec<Line>,
    /// Log lines of the request, oldest first.
    course: Vec<Line>,
    /// Other events near the request that may have affected it, oldest first.
    around: Vec<Line>,
    cause: Vec<String>,
    /// Estimated start of the request: its last line minus its duration.
    #[serde(skip)]
    start: OffsetDateTime,
}

impl Explanation {
    /// Explains the request with this id; `None` if no line has the id.
    pub fn new(mut log: Log, id: &str) -> Option<Self> {
        log.lines.sort_by_key(|line| line.at);
        let course: Vec<Line> = log
            .lines
            .iter()
            .filter(|line| line.text("id") == Some(id))
            .cloned()
            .collect();
        let (first, last) = (course.first()?.at, course.last()?.at);
        // The first line is written only when the first send ends, so the start is derived from the
        // duration that a line reports.
        let took = course.iter().filter_map(|line| line.number("ms")).max();
        let start = last - Duration::milliseconds(took.unwrap_or(0));
        let start = start.min(first);
        let hosts: BTreeSet<&str> = course.iter().map(|line| line.host.as_str()).collect();
        let servers: BTreeSet<&str> = course.iter().filter_map(|it| it.text("server")).collect();
        let mut states: BTreeMap<(String, String), Line> = BTreeMap::new();
        let mut around = Vec::new();
        for line in &log.lines {
            let on_involved_host = hosts.contains(line.host.as_str());
            let names_involved_server = line.servers().any(|it| servers.contains(it));
            if line.at <= start
                && on_involved_host
                && let Some(subject) = line.state_subject()
                && (line.text("server").is_none() || names_involved_server)
            {
                states.insert((line.host.clone(), subject), line.clone());
            }
            let near = line.at > start - MAX_TIME_BEFORE && line.at < last + MAX_TIME_AFTER;
            if near
                && line.text("id") != Some(id)
                && line.is_related_event(on_involved_host, names_involved_server)
            {
                around.push(line.clone());
            }
        }
        let mut before: Vec<Line> = states.into_values().collect();
        before.sort_by_key(|line| line.at);
        let cause = cause::causes(&course, &before, &around);
        Some(Self {
            id: id.to_owned(),
            around: nearest_per_host(around, start),
            before,
            course,
            cause,
            start,
        })
    }
}

/// Keeps the events of each host that are nearest to `start`, sorted by time.
fn nearest_per_host(mut lines: Vec<Line>, start: OffsetDateTime) -> Vec<Line> {
    lines.sort_by_key(|line| (line.at - start).abs());
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    lines.retain(|line| {
        let count = counts.entry(line.host.clone()).or_default();
        *count += 1;
        *count <= MAX_EVENTS_PER_HOST
    });
    lines.sort_by_key(|line| line.at);
    lines
}

impl Display for Explanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        let parts = [
            ("state of its hosts before the request", &self.before),
            ("log lines of the request", &self.course),
            ("other events near the request", &self.around),
        ];
        for (title, lines) in parts {
            if lines.is_empty() {
                continue;
            }
            writeln!(f, "\n{title}")?;
            for line in lines {
                let offset = (line.at - self.start).as_seconds_f64();
                writeln!(f, "{offset:>+10.3} s  {line}")?;
            }
        }
        writeln!(f, "\ncause")?;
        for sentence in &self.cause {
            writeln!(f, "  {sentence}")?;
        }
        Ok(())
    }
}
