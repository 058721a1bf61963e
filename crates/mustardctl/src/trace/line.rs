//! Parser of structured log lines.

use serde_json::{Map, Value};

/// Fields that do not belong to a particular event: those of every line, and the request that a line is about.
const COMMON_FIELDS: [&str; 6] = ["msg", "level", "ts", "node", "event", "request"];

/// One structured log line; text before its JSON object is ignored.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time of the line in RFC 3339, which sorts by time when compared as text.
    pub time: String,
    /// Node that wrote it.
    pub node: String,
    /// Message of the event.
    pub message: String,
    /// Number of the event, as in `docs/EVENTS.md`.
    pub event: u64,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, or returns `None` when it is truncated or not structured.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let text_field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        Some(Self {
            time: text_field("ts")?,
            node: text_field("node")?,
            message: text_field("msg")?,
            event: fields.get("event")?.as_u64()?,
            fields,
        })
    }

    /// Returns a field as text.
    pub fn field(&self, name: &str) -> Option<String> {
        self.fields.get(name).map(|value| match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        })
    }

    /// Returns the fields specific to the event, as `name=value` separated by spaces.
    pub fn details(&self) -> String {
        let names = self
            .fields
            .keys()
            .filter(|name| !COMMON_FIELDS.contains(&name.as_str()));
        let pairs = names.filter_map(|name| Some(format!("{name}={}", self.field(name)?)));
        pairs.collect::<Vec<_>>().join(" ")
    }
}
