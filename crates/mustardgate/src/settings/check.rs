//! Range checks of settings, which name the key and find its line.

use std::{fmt::Display, ops::RangeInclusive};

use derive_more::Display as DeriveDisplay;

/// Collects values outside their ranges.
#[derive(Debug, Default)]
pub struct RangeCheck {
    faults: Vec<RangeFault>,
}

/// A value outside its range.
#[derive(Clone, Debug, DeriveDisplay, PartialEq, Eq)]
#[display("{section}.{key} {reason}")]
pub struct RangeFault {
    /// Section of the key.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// What is wrong.
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

    /// Requires `text` to hold something.
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
    /// Returns the line of the key in the settings text, or of its section when the key stands by default.
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
