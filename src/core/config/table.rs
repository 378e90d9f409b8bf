use std::{
    fmt::{Display, from_fn},
    ops::RangeInclusive,
};

use serde_json::{Map, Value};

use super::Fault;

/// Maximum number of faults listed per value. Further faults are only counted, so that a malicious value cannot
/// exhaust memory.
const MAX_FAULTS: usize = 32;
/// Maximum length of the excerpt of a value in a reason, in characters.
const MAX_EXCERPT_CHARS: usize = 60;
/// Suffixes of keys that name a unit. If one suffix ends with another, the longer one comes first.
const UNIT_SUFFIXES: [&str; 14] = [
    "_milliseconds",
    "_ms",
    "_seconds",
    "_secs",
    "_s",
    "_us",
    "_minutes",
    "_min",
    "_hours",
    "_hour",
    "_percent",
    "_bytes",
    "_kb",
    "_mb",
];

/// Collects the faults of one value.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    listed: Vec<Fault>,
    omitted: usize,
}

impl Faults {
    pub(crate) fn add(
        &mut self,
        field: impl Into<String>,
        reason: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        if self.listed.len() < MAX_FAULTS {
            self.listed.push(Fault::new(field, reason, allowed));
        } else {
            self.omitted += 1;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns `value`, or the faults if there are any.
    pub(crate) fn into_result<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        if self.is_empty() {
            return Ok(value);
        }
        if self.omitted > 0 {
            let reason = format!("{} more faults are not listed", self.omitted);
            self.listed.push(Fault::new("", reason, "no faults"));
        }
        Err(self.listed)
    }
}

/// Reads the fields of a TOML or JSON table and records every fault instead of stopping at the first.
///
/// Fields that are missing or not valid yield the default of their type. [`Faults::into_result`] then discards
/// the value.
pub(crate) struct TableReader<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    known: Vec<&'static str>,
    pub(crate) faults: &'a mut Faults,
}

impl<'a> TableReader<'a> {
    /// Opens `value` at `path` as a table.
    pub(crate) fn open(path: String, value: &'a Value, faults: &'a mut Faults) -> Self {
        if !value.is_object() {
            faults.add(path.clone(), describe(value), "table");
        }
        Self {
            path,
            fields: value.as_object(),
            known: Vec::new(),
            faults,
        }
    }

    /// Returns the path of a field.
    pub(crate) fn field(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    /// Records a fault of a field.
    pub(crate) fn fault(
        &mut self,
        key: &str,
        reason: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.faults.add(self.field(key), reason, allowed);
    }

    /// Returns the value of an optional field; JSON null counts as absent.
    pub(crate) fn raw(&mut self, key: &'static str) -> Option<&'a Value> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.fields?.get(key).filter(|value| !value.is_null())
    }

    /// Parses an optional field; `allowed` describes the valid values.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: impl Display,
        parse: impl FnOnce(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.raw(key)?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.fault(key, describe(value), allowed.to_string());
        }
        parsed
    }

    /// Parses a required field; `allowed` describes the valid values.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        allowed: impl Display,
        parse: impl FnOnce(&Value) -> Option<T>,
    ) -> Option<T> {
        let present = self.fields.is_some_and(|fields| fields.contains_key(key));
        if self.fields.is_some() && !present {
            self.fault(key, "missing", allowed.to_string());
        }
        self.optional(key, allowed, parse)
    }

    /// Parses an integer within `range` in the given unit. The field is required unless there is a default.
    pub(crate) fn integer<T>(
        &mut self,
        key: &'static str,
        default: Option<T>,
        range: RangeInclusive<i64>,
        unit: &str,
    ) -> T
    where
        T: TryFrom<i64> + Default,
    {
        let of = if unit.is_empty() { "" } else { " of " };
        let (low, high) = range.clone().into_inner();
        // Formatted only if there is a fault, because a map has tens of thousands of numbers.
        let allowed = from_fn(|f| {
            write!(
                f,
                "whole number{of}{unit} from {low} to {high}, without a unit"
            )
        });
        let parse = |value: &Value| {
            let number = value.as_i64().filter(|number| range.contains(number))?;
            T::try_from(number).ok()
        };
        match default {
            Some(default) => self.optional(key, allowed, parse).unwrap_or(default),
            None => self.required(key, allowed, parse).unwrap_or_default(),
        }
    }

    /// Parses a number within `range`. The field is required unless there is a default.
    pub(crate) fn number(
        &mut self,
        key: &'static str,
        default: Option<f64>,
        range: RangeInclusive<f64>,
        unit: &str,
    ) -> f64 {
        let allowed =
            from_fn(|f| write!(f, "number{unit} from {} to {}", range.start(), range.end()));
        let parse = |value: &Value| value.as_f64().filter(|number| range.contains(number));
        match default {
            Some(default) => self.optional(key, allowed, parse).unwrap_or(default),
            None => self.required(key, allowed, parse).unwrap_or_default(),
        }
    }

    /// Parses an optional boolean; the default is false.
    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        self.optional(key, "true or false", Value::as_bool)
            .unwrap_or_default()
    }

    /// Reads an optional nested table.
    pub(crate) fn table<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> Option<T> {
        let value = self.raw(key)?;
        let path = self.field(key);
        Some(TableReader::read_at(path, value, self.faults, read))
    }

    /// Reads `value` at `path` as a table, and records a fault for every key that `read` does not look up.
    pub(crate) fn read_at<T>(
        path: String,
        value: &Value,
        faults: &mut Faults,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> T {
        let mut table = TableReader::open(path, value, faults);
        let result = read(&mut table);
        table.report_unknown_keys();
        result
    }

    /// Reads a list of at most `max` elements; `read` gets the path of each element.
    pub(crate) fn list<T>(
        &mut self,
        key: &'static str,
        required: bool,
        max: usize,
        items: &str,
        mut read: impl FnMut(String, &Value, &mut Faults) -> Option<T>,
    ) -> Vec<T> {
        let allowed = || format!("list of at most {max} {items}");
        let value = self.raw(key);
        let list = value
            .and_then(Value::as_array)
            .filter(|list| list.len() <= max);
        match value {
            None if required && self.fields.is_some() => self.fault(key, "missing", allowed()),
            Some(value) if list.is_none() => self.fault(key, describe(value), allowed()),
            _ => {}
        }
        let path = self.field(key);
        let elements = list.into_iter().flatten().enumerate();
        elements
            .filter_map(|(index, value)| read(format!("{path}[{index}]"), value, self.faults))
            .collect()
    }

    /// Records a fault for every key that was not looked up.
    fn report_unknown_keys(self) {
        let fields = self.fields.into_iter().flatten();
        for (key, _) in fields.filter(|(key, _)| !self.known.contains(&key.as_str())) {
            let field = self.field(&truncate(key));
            let similar = self
                .known
                .iter()
                .find(|known| strip_unit(known) == strip_unit(key));
            match similar {
                Some(known) => self.faults.add(
                    field,
                    "unknown key, possibly with the wrong unit",
                    format!("the key `{known}`"),
                ),
                None => {
                    let known = self.known.join(", ");
                    self.faults
                        .add(field, "unknown key", format!("the keys {known}"));
                }
            }
        }
    }
}

/// Returns a key without the suffix that names its unit.
fn strip_unit(key: &str) -> &str {
    UNIT_SUFFIXES
        .iter()
        .find_map(|unit| key.strip_suffix(unit))
        .unwrap_or(key)
}

/// Describes a value that is not allowed; the length of the result is bounded.
pub(crate) fn describe(value: &Value) -> String {
    match value {
        Value::Array(list) => format!("is a list of {}", list.len()),
        Value::Object(_) => "is a table".to_owned(),
        Value::String(text) => format!("is \"{}\"", truncate(text)),
        other => format!("is {other}"),
    }
}

/// Truncates untrusted text to [`MAX_EXCERPT_CHARS`] characters.
pub(crate) fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_EXCERPT_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
