//! Range checks of settings, whose errors name the key and its line.

use std::{fmt::Display, ops::RangeInclusive};

use derive_more::Display as DeriveDisplay;

/// Collects the values that lie outside their ranges or are empty.
#[derive(Debug, Default)]
pub struct RangeCheck {
    faults: Vec<RangeFault>,
}

/// A value that lies outside its range or is empty.
#[derive(Clone, Debug, DeriveDisplay, PartialEq, Eq)]
#[display("{section}.{key} {reason}")]
pub struct RangeFault {
    /// Section that contains the key.
    pub section: &'static str,
    /// Key of the value.
    pub key: &'static str,
    /// Explanation, which follows the key in the message.
    pub reason: String,
}

impl RangeCheck {
    /// Requires `value` to lie within `range`.
    pub fn within<T>(&mut self, section: &'static str, key: &'static str, value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + Display + Copy,
    {
        if range.contains(&value) {
            return;
        }
        let reason = format!("is {value}, outside {} to {}", range.start(), range.end());
        self.faults.push(RangeFault { section, key, reason });
    }

    /// Requires `text` to contain more than white space.
    pub fn not_empty(&mut self, section: &'static str, key: &'static str, text: &str) {
        if text.trim().is_empty() {
            self.faults.push(RangeFault {
                section,
                key,
                reason: "is empty".to_owned(),
            });
        }
    }

    /// Returns the first fault found.
    pub fn into_first_fault(self) -> Option<RangeFault> {
        self.faults.into_iter().next()
    }
}

impl RangeFault {
    /// Returns the line of the key in the settings text, counted from 1. For a key that is not set it returns the line
    /// of the section, or 1 when the section is missing too.
    pub fn line_in(&self, text: &str) -> usize {
        let header = format!("[{}]", self.section);
        let mut section_line = 1;
        let mut is_inside = false;
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                is_inside = line == header;
                if is_inside {
                    section_line = index + 1;
                }
                continue;
            }
            let key = line.split('=').next().map_or("", str::trim);
            if is_inside && key == self.key {
                return index + 1;
            }
        }
        section_line
    }
}
