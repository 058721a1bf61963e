//! Optional bounds that the environment of the process states.

use std::collections::BTreeMap;

use toml::{Table, Value};

/// Table of the settings that holds the bounds.
const BOUNDS_TABLE: &str = "bounds";

/// Optional bounds that hold where the settings file has none.
///
/// A platform that fills a template in has no value for a bound that its deployment does not prescribe. A line of the file
/// needs one, while a variable may stay empty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatedBounds {
    values: BTreeMap<&'static str, Value>,
}

impl StatedBounds {
    /// Takes the value of a bound, named as in the settings file, from the text of a variable. Text without a value states
    /// nothing.
    ///
    /// # Errors
    /// The parser's message if the text is no number, `true` or `false`.
    pub fn state(&mut self, field: &'static str, text: &str) -> Result<(), String> {
        let text = text.trim();
        if text.is_empty() || text == "null" {
            return Ok(());
        }
        let line: Table = toml::from_str(&format!("value = {text}")).map_err(|error| error.message().to_owned())?;
        let is_single = line.len() == 1;
        let value = line.into_iter().next().map(|(_, value)| value);
        let value = value
            .filter(|_| is_single)
            .filter(|value| value.is_integer() || value.is_float() || value.is_bool());
        self.values.insert(field, value.ok_or("not a number, true or false")?);
        Ok(())
    }

    /// Returns whether no bound is stated.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Adds the bounds that the settings lack.
    pub(super) fn fill_in(&self, settings: &mut Table) {
        let Some(bounds) = settings.get_mut(BOUNDS_TABLE).and_then(Value::as_table_mut) else {
            return;
        };
        for (field, value) in &self.values {
            bounds.entry(*field).or_insert_with(|| value.clone());
        }
    }
}
