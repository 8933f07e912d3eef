//! Rendering of the timeline as a self-contained HTML page.

use azurenotch_wire::{
    event::{Event, Kind},
    id::Host,
    time::Stamp,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter, Write},
};
use time::{OffsetDateTime, macros::format_description};

/// Width of the picture in pixels.
const WIDTH: f64 = 1200.0;
/// Width in pixels of the left margin, which holds the names of the hosts.
const LEFT_MARGIN: f64 = 170.0;
/// Characters of a host's name that fit beside its lane; the hover text shows the full name.
const MAX_NAME_CHARS: usize = 22;
/// Width in pixels of the right margin; without it the last mark and label would be cut off.
const RIGHT_MARGIN: f64 = 60.0;
/// Height of one lane in pixels.
const LANE_HEIGHT: f64 = 34.0;
/// Height of the time axis in pixels.
const AXIS_HEIGHT: f64 = 28.0;
/// Intervals between the labels of the time axis.
const TICK_INTERVALS: u32 = 5;
/// Rows over which the marks of a lane are spread in turn, so that they overlap less.
const ROWS_PER_LANE: usize = 3;

const STYLE: &str = include_str!("page/style.css");
const SCRIPT: &str = include_str!("page/script.js");

/// Returns a page with a lane per host, a legend and a table of all events.
pub fn html(events: &[Event], unreachable: &[Host]) -> String {
    let mut page = String::new();
    // Writing to a `String` does not fail.
    let _ = write_page(&mut page, events, unreachable);
    page
}

fn write_page(page: &mut String, events: &[Event], unreachable: &[Host]) -> fmt::Result {
    write!(
        page,
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>azurenotch timeline</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n\
         <h1>azurenotch timeline</h1>\n<p>{} events; times in UTC.</p>\n",
        events.len()
    )?;
    for host in unreachable {
        let host = Escaped(host);
        writeln!(
            page,
            "<p class=\"missing\">Host {host} does not answer; its events are missing.</p>"
        )?;
    }
    legend(page, events)?;
    picture(page, events)?;
    table(page, events)?;
    write!(page, "<script>\n{SCRIPT}</script>\n</body>\n</html>\n")
}

fn legend(page: &mut String, events: &[Event]) -> fmt::Result {
    let styles = events.iter().map(|event| style(&event.kind));
    page.push_str("<p class=\"legend\">\n");
    for (name, colour) in styles.collect::<BTreeSet<_>>() {
        writeln!(
            page,
            "<label><input type=\"checkbox\" value=\"{name}\" checked>\
             <span style=\"background:{colour}\"></span>{name}</label>"
        )?;
    }
    page.push_str("</p>\n");
    Ok(())
}

fn picture(page: &mut String, events: &[Event]) -> fmt::Result {
    let hosts = events
        .iter()
        .map(|event| &event.host)
        .collect::<BTreeSet<_>>();
    let height = LANE_HEIGHT * hosts.len() as f64 + AXIS_HEIGHT;
    let scale = Scale::new(events);
    writeln!(
        page,
        "<svg viewBox=\"0 0 {WIDTH} {height}\" role=\"img\" aria-label=\"events by host and time\">"
    )?;
    let mut lanes = BTreeMap::new();
    for (index, host) in hosts.into_iter().enumerate() {
        let y = LANE_HEIGHT * (index as f64 + 0.5);
        let short = host
            .as_str()
            .chars()
            .take(MAX_NAME_CHARS)
            .collect::<String>();
        let (short, name, end) = (Escaped(short), Escaped(host), WIDTH - RIGHT_MARGIN);
        writeln!(
            page,
            "<text x=\"4\" y=\"{}\">{short}<title>{name}</title></text>",
            y + 4.0
        )?;
        writeln!(
            page,
            "<line x1=\"{LEFT_MARGIN}\" y1=\"{y}\" x2=\"{end}\" y2=\"{y}\"/>"
        )?;
        lanes.insert(host, (y, 0));
    }
    scale.axis(page, height)?;
    for event in events {
        let Some((y, marks)) = lanes.get_mut(&event.host) else {
            continue;
        };
        let row = (*marks % ROWS_PER_LANE) as f64 - 1.0;
        *marks += 1;
        mark(page, event, scale.x(event.stamp.wall_ms), *y + 8.0 * row)?;
    }
    page.push_str("</svg>\n");
    Ok(())
}

fn mark(page: &mut String, event: &Event, x: f64, y: f64) -> fmt::Result {
    let (name, colour) = style(&event.kind);
    writeln!(
        page,
        "<circle class=\"event\" data-kind=\"{name}\" cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"5\" \
         fill=\"{colour}\"><title>{} {}: {}</title></circle>",
        time(event.stamp),
        Escaped(&event.host),
        Escaped(&event.kind)
    )
}

/// Maps times to horizontal positions in the picture.
#[derive(Debug, Clone, Copy)]
struct Scale {
    first: u64,
    last: u64,
}

impl Scale {
    fn new(events: &[Event]) -> Self {
        let times = || events.iter().map(|event| event.stamp.wall_ms);
        Self {
            first: times().min().unwrap_or_default(),
            last: times().max().unwrap_or_default(),
        }
    }

    fn x(self, wall_ms: u64) -> f64 {
        let span_ms = (self.last - self.first).max(1) as f64;
        let part = wall_ms.saturating_sub(self.first) as f64 / span_ms;
        LEFT_MARGIN + part * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
    }

    fn axis(self, page: &mut String, height: f64) -> fmt::Result {
        for tick in 0..=TICK_INTERVALS {
            let wall_ms =
                self.first + (self.last - self.first) / u64::from(TICK_INTERVALS) * u64::from(tick);
            let (x, time) = (
                self.x(wall_ms),
                time(Stamp {
                    wall_ms,
                    logical: 0,
                }),
            );
            // The axis only has room for the time of day; the table shows the date.
            let label = time
                .split_once(' ')
                .map_or(time.as_str(), |(_, label)| label);
            writeln!(
                page,
                "<line x1=\"{x:.1}\" y1=\"0\" x2=\"{x:.1}\" y2=\"{}\"/>",
                height - AXIS_HEIGHT
            )?;
            writeln!(
                page,
                "<text class=\"tick\" x=\"{x:.1}\" y=\"{}\">{label}</text>",
                height - 8.0
            )?;
        }
        Ok(())
    }
}

fn table(page: &mut String, events: &[Event]) -> fmt::Result {
    page.push_str(
        "<p><input id=\"filter\" type=\"search\" placeholder=\"Filter by text\"> \
         <span id=\"shown\"></span></p>\n<table>\n<thead><tr><th>Time (UTC)</th><th>Host</th>\
         <th>Kind</th><th>Event</th></tr></thead>\n<tbody>\n",
    );
    for event in events {
        let (name, colour) = style(&event.kind);
        writeln!(
            page,
            "<tr data-kind=\"{name}\"><td>{}</td><td>{}</td>\
             <td><span style=\"background:{colour}\"></span>{name}</td><td>{}</td></tr>",
            time(event.stamp),
            Escaped(&event.host),
            Escaped(&event.kind)
        )?;
    }
    page.push_str("</tbody>\n</table>\n");
    Ok(())
}

/// Returns the name and the colour of a kind of event; related kinds have related colours.
fn style(kind: &Kind) -> (&'static str, &'static str) {
    match kind {
        Kind::Started { .. } => ("started", "#2e7d32"),
        Kind::Stopping => ("stopping", "#8d6e63"),
        Kind::Stopped => ("stopped", "#4e342e"),
        Kind::Adopted { .. } => ("adopted", "#64b5f6"),
        Kind::Accepted { .. } => ("accepted", "#1565c0"),
        Kind::Conflict { .. } => ("conflict", "#0d2a66"),
        Kind::LeaseAcquired { .. } => ("lease-acquired", "#26a69a"),
        Kind::LeaseLost { .. } => ("lease-lost", "#00695c"),
        Kind::Peer { .. } => ("peer", "#9e9e9e"),
        Kind::Store { .. } => ("store", "#424242"),
        Kind::Refused { .. } => ("refused", "#d32f2f"),
        Kind::Share { .. } => ("share", "#fdd835"),
        Kind::Ejected { .. } => ("ejected", "#ef6c00"),
        Kind::Restored { .. } => ("restored", "#9ccc65"),
        Kind::Draining { .. } => ("draining", "#ffb74d"),
        Kind::MoveShare { .. } => ("move-share", "#ba68c8"),
        Kind::MoveFault { .. } => ("move-fault", "#ec407a"),
        Kind::MoveEnded { .. } => ("move-ended", "#6a1b9a"),
    }
}

/// Formats the wall clock of a stamp in UTC.
pub fn time(stamp: Stamp) -> String {
    let format =
        format_description!("[year]-[month]-[day] [hour]:[minute]:[second].[subsecond digits:3]");
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(stamp.wall_ms) * 1_000_000)
        .ok()
        .and_then(|time| time.format(format).ok())
        // A stamp beyond the year 9999 comes from a wrong clock and is shown as a number.
        .unwrap_or_else(|| stamp.to_string())
}

/// Displays a value escaped for HTML and SVG text and attributes.
struct Escaped<T>(T);

impl<T: Display> Display for Escaped<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for character in self.0.to_string().chars() {
            match character {
                '&' => f.write_str("&amp;")?,
                '<' => f.write_str("&lt;")?,
                '>' => f.write_str("&gt;")?,
                '"' => f.write_str("&quot;")?,
                '\'' => f.write_str("&#39;")?,
                other => f.write_char(other)?,
            }
        }
        Ok(())
    }
}
