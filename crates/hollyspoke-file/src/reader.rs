//! A reader of TOML tables, which reports a finding for each unexpected entry.

use std::collections::BTreeSet;
use std::ops::Range;
use std::str::FromStr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::{Finding, nearest};

/// A value with its position.
#[derive(Debug, Clone)]
pub struct Located<T> {
    /// The parsed value.
    pub value: T,
    /// The position, in bytes from the start of the file.
    pub span: Range<usize>,
}

/// A reader of the entries of one table.
pub struct Reader<'a, 'f> {
    /// The table that is read.
    table: &'a DeTable<'a>,
    /// The position of the table.
    span: Range<usize>,
    /// The name of the table in messages.
    label: &'static str,
    /// The keys that were read, which are the valid ones.
    known_keys: BTreeSet<&'static str>,
    /// All findings of the file.
    findings: &'f mut Vec<Finding>,
}

impl<'a, 'f> Reader<'a, 'f> {
    /// Creates a reader of a table.
    pub fn new(
        table: &'a DeTable<'a>,
        span: Range<usize>,
        label: &'static str,
        findings: &'f mut Vec<Finding>,
    ) -> Reader<'a, 'f> {
        Reader { table, span, label, known_keys: BTreeSet::new(), findings }
    }

    /// Returns the position of the table.
    pub fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Adds a finding.
    pub fn report(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// Reads a required text.
    pub fn text(&mut self, key: &'static str) -> Option<Located<String>> {
        let value = self.required(key)?;
        self.read_text(key, value)
    }

    /// Reads an optional list of texts.
    pub fn texts(&mut self, key: &'static str) -> Vec<Located<String>> {
        let Some(value) = self.optional(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            self.report_wrong_type(key, "a list of texts", value);
            return Vec::new();
        };
        items.iter().filter_map(|it| self.read_text(key, it)).collect()
    }

    /// Reads a required positive integer.
    pub fn count(&mut self, key: &'static str) -> Option<u64> {
        let value = self.required(key)?;
        self.read_count(key, value)
    }

    /// Reads an optional positive integer.
    pub fn count_or(&mut self, key: &'static str, default: u64) -> u64 {
        let Some(value) = self.optional(key) else { return default };
        self.read_count(key, value).unwrap_or(default)
    }

    /// Reads an optional positive number.
    pub fn optional_number(&mut self, key: &'static str) -> Option<f64> {
        let value = self.optional(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(it) => parse_integer(it.as_str(), it.radix()).map(|it| it as f64),
            DeValue::Float(it) => f64::from_str(&it.as_str().replace('_', "")).ok(),
            _ => {
                self.report_wrong_type(key, "a number", value);
                return None;
            }
        };
        let positive = number.filter(|it| it.is_finite() && *it > 0.0);
        if positive.is_none() {
            let message = format!("`{key}` must be a positive number");
            self.report(Finding::new(value.span(), message));
        }
        positive
    }

    /// Reads an optional boolean.
    pub fn flag_or(&mut self, key: &'static str, default: bool) -> bool {
        let Some(value) = self.optional(key) else { return default };
        let DeValue::Boolean(flag) = value.get_ref() else {
            self.report_wrong_type(key, "`true` or `false`", value);
            return default;
        };
        *flag
    }

    /// Returns the tables of an array such as `[[engine]]`, with their positions.
    pub fn tables(&mut self, key: &'static str) -> Vec<(&'a DeTable<'a>, Range<usize>)> {
        let Some(value) = self.optional(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            let message = format!("`{key}` must be a list of tables");
            let hint = format!("write `[[{key}]]`");
            self.report(Finding::new(value.span(), message).with_hint(hint));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::Table(table) => tables.push((table, item.span())),
                _ => self.report_wrong_type(key, "a table", item),
            }
        }
        tables
    }

    /// Reports the keys that were never read as unknown.
    pub fn report_unknown_keys(mut self) {
        for (key, _) in self.table.iter() {
            let name: &str = key.get_ref();
            if self.known_keys.contains(name) {
                continue;
            }
            let message = format!("{} has no entry `{name}`", self.label);
            let mut finding = Finding::new(key.span(), message);
            if let Some(suggestion) = nearest(name, self.known_keys.iter().copied()) {
                finding = finding.with_hint(format!("did you mean `{suggestion}`?"));
            }
            self.report(finding);
        }
    }

    /// Returns an optional entry.
    fn optional(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_keys.insert(key);
        self.table.get(key)
    }

    /// Returns a required entry; reports a finding if it is absent.
    fn required(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        let value = self.optional(key);
        if value.is_none() {
            let message = format!("{} lacks `{key}`", self.label);
            let span = self.span();
            self.report(Finding::new(span, message).with_hint(format!("add `{key} = …`")));
        }
        value
    }

    /// Converts a value to a text; reports a finding if it is empty or of another type.
    fn read_text(&mut self, key: &str, value: &Spanned<DeValue<'_>>) -> Option<Located<String>> {
        let DeValue::String(text) = value.get_ref() else {
            self.report_wrong_type(key, "a text", value);
            return None;
        };
        if text.is_empty() {
            self.report(Finding::new(value.span(), format!("`{key}` must not be empty")));
            return None;
        }
        Some(Located { value: text.to_string(), span: value.span() })
    }

    /// Converts a value to a positive integer; reports a finding if it is not one.
    fn read_count(&mut self, key: &str, value: &Spanned<DeValue<'_>>) -> Option<u64> {
        let DeValue::Integer(integer) = value.get_ref() else {
            self.report_wrong_type(key, "a whole number", value);
            return None;
        };
        let number = parse_integer(integer.as_str(), integer.radix());
        let positive = number.and_then(|it| u64::try_from(it).ok()).filter(|it| *it > 0);
        if positive.is_none() {
            let message = format!("`{key}` must be a positive whole number");
            self.report(Finding::new(value.span(), message));
        }
        positive
    }

    /// Reports an entry of the wrong type.
    fn report_wrong_type(&mut self, key: &str, expected: &str, value: &Spanned<DeValue<'_>>) {
        let found = match value.get_ref() {
            DeValue::String(_) => "a text",
            DeValue::Integer(_) => "a whole number",
            DeValue::Float(_) => "a fraction",
            DeValue::Boolean(_) => "a truth value",
            DeValue::Datetime(_) => "a date",
            DeValue::Array(_) => "a list",
            DeValue::Table(_) => "a table",
        };
        let message = format!("`{key}` must be {expected}, not {found}");
        self.report(Finding::new(value.span(), message));
    }
}

/// Parses the digits of an integer.
fn parse_integer(digits: &str, radix: u32) -> Option<i64> {
    i64::from_str_radix(&digits.replace('_', ""), radix).ok()
}
