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
        let message = take("msg")?;
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
            "feed: lost" | "feed: regained" => Some(format!("feed {}", field("subject"))),
            "servers: listed" | "servers: gone" | "servers: checked" => {
                Some(format!("server {}", field("server")))
            }
            "orders: move" => Some(format!("move {}", field("service"))),
            "orders: state of move" => Some(format!("state {}", field("service"))),
            "orders: evacuation" => Some(format!("evacuation {}", field("data-centre"))),
            "settings: in force" | "settings: unusable" => Some("settings".to_owned()),
            _ => None,
        }
    }

    /// Returns whether the line tells of an event that may have a part in a request nearby.
    ///
    /// `own` says whether the request was at the line's host, `named` whether the line names a
    /// backend server of the request.
    pub fn is_event(&self, own: bool, named: bool) -> bool {
        match self.message.as_str() {
            "attempt: no answer" | "attempt: slow" => named,
            "servers: gone" | "servers: listed" | "servers: checked" => own && named,
            "hosts: gone" | "hosts: heard" | "feed: regained" | "entry: started"
            | "relay: no answer" | "orders: evacuation" => own,
            "feed: lost"
            | "journal: dropped"
            | "entry: stopping"
            | "entry: stopped"
            | "entry: requests are cut" => true,
            _ => false,
        }
    }
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
