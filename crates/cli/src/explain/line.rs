//! Parsing of a host's log lines.

use serde::Serialize;
use serde_json::{Deserializer, Map, Value};
use std::fmt::{self, Display, Formatter};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Parsed line of a host's log.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Time at which the host wrote the line, by its own clock.
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// Name of the host; empty if the line has none.
    pub host: String,
    /// Message; one of the old build is replaced by its current text.
    pub message: String,
    /// All other fields except the level and null values.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses the line at the start of `text`; `None` if there is no log line.
    pub fn parse(text: &str) -> Option<Self> {
        let mut values = Deserializer::from_str(text).into_iter::<Map<String, Value>>();
        let mut fields = values.next()?.ok()?;
        let mut take_text = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let at = OffsetDateTime::parse(&take_text("ts")?, &Rfc3339).ok()?;
        let message = current_message(take_text("msg")?);
        let host = take_text("host").unwrap_or_default();
        fields.remove("level");
        fields.retain(|_, value| !value.is_null());
        Some(Self {
            at,
            host,
            message,
            fields,
        })
    }

    /// Returns a string field; `None` if it is absent or has another type.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns an integer field; `None` if it is absent or has another type.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.fields.get(name)?.as_i64()
    }

    /// Returns the names of the backend servers that the line is about.
    pub fn servers(&self) -> impl Iterator<Item = &str> {
        let list = self.text("servers").unwrap_or_default().split(',');
        self.text("server").into_iter().chain(list)
    }

    /// Returns the subject of a line that reports a lasting state; `None` for other lines.
    ///
    /// The state holds until the next line with the same subject.
    pub fn state_subject(&self) -> Option<String> {
        let field = |name: &str| {
            let text = self.fields.get(name).map(ToString::to_string);
            text.unwrap_or_default()
        };
        match self.message.as_str() {
            "entry: started" | "entry: stopping" | "entry: stopped" => Some("entry".to_owned()),
            "configuration: adopted" => Some("configuration".to_owned()),
            "feed: store reads failing" | "feed: store reads succeeding" => {
                Some(format!("feed {}", field("subject")))
            }
            "servers: server added or updated"
            | "servers: server removed"
            | "servers: health check passed" => Some(format!("server {}", field("server"))),
            "orders: move order received" => Some(format!("move {}", field("service"))),
            "orders: move state received" => Some(format!("state {}", field("service"))),
            "orders: evacuation order received" => {
                Some(format!("evacuation {}", field("data-centre")))
            }
            "connections: limit reached" | "connections: below limit again" => {
                Some(format!("connections {}", field("port")))
            }
            "host: tasks run late" | "host: tasks run on time again" => Some("lag".to_owned()),
            "settings: applied" | "settings: rejected" => Some("settings".to_owned()),
            _ => None,
        }
    }

    /// Returns whether the line reports an event that may have affected a request near in time.
    ///
    /// `on_involved_host` says whether the request passed through the line's host, and
    /// `names_involved_server` whether the line names a backend server that the request was sent to.
    pub fn is_related_event(&self, on_involved_host: bool, names_involved_server: bool) -> bool {
        match self.message.as_str() {
            "attempt: failed" | "attempt: slower than expected" => names_involved_server,
            "servers: server removed"
            | "servers: server added or updated"
            | "servers: departures"
            | "servers: server is leaving"
            | "servers: server asked for a pause"
            | "servers: server named a limit"
            | "servers: limit of server ended"
            | "servers: health check passed" => on_involved_host && names_involved_server,
            "changes: batch applied"
            | "hosts: unreachable peer removed"
            | "hosts: peer joined or restarted"
            | "feed: store reads succeeding"
            | "entry: started"
            | "relay: request to peer failed"
            | "orders: evacuation order received" => on_involved_host,
            "feed: store reads failing"
            | "feed: store restored from an older copy"
            | "journal: dropped"
            | "entry: stopping"
            | "entry: stopped"
            | "entry: grace period over, running requests aborted" => true,
            _ => false,
        }
    }
}

/// Maps a message of the old build to its current text.
///
/// During an upgrade, the logs contain lines of both builds.
fn current_message(message: String) -> String {
    let current = match message.as_str() {
        "attempt: slow" => "attempt: slower than expected",
        "attempt: no answer" => "attempt: failed",
        "orders: move" => "orders: move order received",
        "orders: state of move" => "orders: move state received",
        "orders: evacuation" => "orders: evacuation order received",
        "servers: listed" => "servers: server added or updated",
        "servers: gone" => "servers: server removed",
        "servers: checked" => "servers: health check passed",
        "entry: requests are cut" => "entry: grace period over, running requests aborted",
        "feed: regained" => "feed: store reads succeeding",
        "feed: lost" => "feed: store reads failing",
        "hosts: gone" => "hosts: unreachable peer removed",
        "hosts: heard" => "hosts: peer joined or restarted",
        "relay: no answer" => "relay: request to peer failed",
        "settings: in force" => "settings: applied",
        "settings: unusable" => "settings: rejected",
        _ => return message,
    };
    current.to_owned()
}

impl Display for Line {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        // A control character could move the cursor of the operator's terminal.
        let replace_control = |text: &str| text.replace(char::is_control, " ");
        write!(
            f,
            "{}  {}",
            replace_control(&self.host),
            replace_control(&self.message)
        )?;
        for (name, value) in &self.fields {
            let text = match value {
                Value::String(text) => text.clone(),
                value => value.to_string(),
            };
            write!(f, "  {name}={}", replace_control(&text))?;
        }
        Ok(())
    }
}
