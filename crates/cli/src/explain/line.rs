//! One line of a host's log.

use serde::Serialize;
use serde_json::{Deserializer, Map, Value};
use std::fmt::{self, Display, Formatter};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// One line of a host's log.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// When the host wrote it, by its own clock.
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// The host.
    pub host: String,
    /// What happened.
    pub message: String,
    /// Everything else.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads the line with which a text begins.
    pub fn parse(text: &str) -> Option<Self> {
        let mut values = Deserializer::from_str(text).into_iter::<Map<String, Value>>();
        let mut fields = values.next()?.ok()?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let at = OffsetDateTime::parse(&take("ts")?, &Rfc3339).ok()?;
        let message = current_message(take("msg")?);
        let host = take("host").unwrap_or_default();
        fields.remove("level");
        fields.retain(|_, value| !value.is_null());
        Some(Self {
            at,
            host,
            message,
            fields,
        })
    }

    /// Returns a field that holds text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that holds a whole number.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.fields.get(name)?.as_i64()
    }

    /// Returns what the line says something about that holds until the next such line.
    pub fn fact(&self) -> Option<String> {
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
            "settings: applied" | "settings: rejected" => Some("settings".to_owned()),
            _ => None,
        }
    }

    /// Returns whether the line tells of an event that may have a part in a request nearby.
    ///
    /// `own` says whether the request was at the line's host, `named` whether the line names a
    /// backend server of the request.
    pub fn is_event(&self, own: bool, named: bool) -> bool {
        match self.message.as_str() {
            "attempt: failed" | "attempt: slower than expected" => named,
            "servers: server removed"
            | "servers: server added or updated"
            | "servers: health check passed" => own && named,
            "hosts: unreachable peer removed"
            | "hosts: peer joined or restarted"
            | "feed: store reads succeeding"
            | "entry: started"
            | "relay: request to peer failed"
            | "orders: evacuation order received" => own,
            "feed: store reads failing"
            | "journal: dropped"
            | "entry: stopping"
            | "entry: stopped"
            | "entry: grace period over, running requests aborted" => true,
            _ => false,
        }
    }
}

/// Maps a message of the old build to its new text: during an upgrade hosts of both builds run.
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
        let clean = |text: &str| text.replace(char::is_control, " ");
        write!(f, "{}  {}", clean(&self.host), clean(&self.message))?;
        for (name, value) in &self.fields {
            let text = match value {
                Value::String(text) => text.clone(),
                value => value.to_string(),
            };
            write!(f, "  {name}={}", clean(&text))?;
        }
        Ok(())
    }
}
