//! One structured log line.

use serde_json::{Map, Value};

/// Fields that every line has, which say nothing about its step.
const COMMON_FIELDS: [&str; 6] = ["msg", "level", "ts", "node", "event", "request"];

/// One structured log line; what stands before its JSON object is ignored.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time of the line, in RFC 3339, which sorts as text.
    pub time: String,
    /// Node that wrote it.
    pub node: String,
    /// Message of the event.
    pub message: String,
    /// Number of the event in the catalogue of events.
    pub event: u64,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, or returns `None` when it is broken or not structured.
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

    /// Returns the fields that belong to the event alone, as `name=value`.
    pub fn details(&self) -> String {
        let own = self
            .fields
            .keys()
            .filter(|name| !COMMON_FIELDS.contains(&name.as_str()));
        let shown = own.filter_map(|name| Some(format!("{name}={}", self.field(name)?)));
        shown.collect::<Vec<_>>().join(" ")
    }
}
