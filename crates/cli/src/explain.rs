//! What became of one request, told by the logs of all hosts.

mod cause;
mod line;

pub use self::line::Line;

use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
};
use time::{Duration, OffsetDateTime};

/// Time before a request from which events that do not last are told.
const BEFORE: Duration = Duration::seconds(5);
/// Time after the request's last line from which events are still told; the clocks of hosts differ.
const AFTER: Duration = Duration::seconds(1);
/// Events told at most of one host, of those that do not last.
const EVENTS: usize = 12;

/// Lines of the logs of all hosts, in any order.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
}

impl Log {
    /// Takes in the log lines of a text; what is none is left out.
    ///
    /// Collectors put names before lines, and some join lines of several hosts.
    pub fn read(&mut self, text: &str) {
        for (start, _) in text.match_indices('{') {
            self.lines.extend(Line::parse(&text[start..]));
        }
    }

    /// Returns how many lines there are.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether there is no line.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// What became of one request.
#[derive(Debug, Serialize)]
pub struct Story {
    id: String,
    /// What each host that took part believed when the request came, oldest first.
    before: Vec<Line>,
    /// Lines of the request in their order.
    course: Vec<Line>,
    /// Other events near the request that may have a part in it.
    around: Vec<Line>,
    cause: Vec<String>,
    /// When the request came.
    #[serde(skip)]
    start: OffsetDateTime,
}

impl Story {
    /// Finds the lines of a request; `None` if there is none.
    pub fn new(mut log: Log, id: &str) -> Option<Self> {
        log.lines.sort_by_key(|line| line.at);
        let course: Vec<Line> = log
            .lines
            .iter()
            .filter(|line| line.text("id") == Some(id))
            .cloned()
            .collect();
        let (first, last) = (course.first()?.at, course.last()?.at);
        // A request's first line is written when its first send ends.
        let took = course.iter().filter_map(|line| line.number("ms")).max();
        let start = last - Duration::milliseconds(took.unwrap_or(0));
        let start = start.min(first);
        let hosts: BTreeSet<&str> = course.iter().map(|line| line.host.as_str()).collect();
        let servers: BTreeSet<&str> = course.iter().filter_map(|it| it.text("server")).collect();
        let mut facts: BTreeMap<(String, String), Line> = BTreeMap::new();
        let mut around = Vec::new();
        for line in &log.lines {
            let own = hosts.contains(line.host.as_str());
            let named = line.text("server").is_some_and(|it| servers.contains(it));
            if line.at <= start
                && own
                && let Some(subject) = line.fact()
                && (line.text("server").is_none() || named)
            {
                facts.insert((line.host.clone(), subject), line.clone());
            }
            let near = line.at > start - BEFORE && line.at < last + AFTER;
            if near && line.text("id") != Some(id) && line.is_event(own, named) {
                around.push(line.clone());
            }
        }
        let mut before: Vec<Line> = facts.into_values().collect();
        before.sort_by_key(|line| line.at);
        let cause = cause::causes(&course, &before, &around);
        Some(Self {
            id: id.to_owned(),
            around: limited(around, start),
            before,
            course,
            cause,
            start,
        })
    }
}

/// Keeps of each host the events that are nearest to the request.
fn limited(mut lines: Vec<Line>, start: OffsetDateTime) -> Vec<Line> {
    lines.sort_by_key(|line| (line.at - start).abs());
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    lines.retain(|line| {
        let count = counts.entry(line.host.clone()).or_default();
        *count += 1;
        *count <= EVENTS
    });
    lines.sort_by_key(|line| line.at);
    lines
}

impl Display for Story {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        let parts = [
            ("what its hosts knew", &self.before),
            ("its course", &self.course),
            ("around it", &self.around),
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
