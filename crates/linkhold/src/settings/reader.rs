//! Reads keys of a TOML document and collects findings with their lines.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// An error in the settings, with its line and key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line, from 1; 0 for a flag or a missing key.
    pub line: usize,
    /// Key with its section, such as `backend.user`.
    pub key: String,
    /// Description of the error and of the allowed values.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(formatter, "{}: {}", self.key, self.message),
            line => write!(formatter, "line {line}, {}: {}", self.key, self.message),
        }
    }
}

/// Values given as flags, by key; they override the file.
pub type Overrides = BTreeMap<String, String>;

/// A value and its line.
struct Entry {
    line: usize,
    value: Value,
}

enum Value {
    Text(String),
    Integer(i64),
    Other,
}

/// Keys of a document. A key that is never read is reported as unknown.
pub struct Reader {
    entries: BTreeMap<String, Entry>,
    known: Vec<&'static str>,
    /// Findings so far.
    pub findings: Vec<Finding>,
}

impl Reader {
    /// Parses a document and applies the overrides.
    pub fn new(text: &str, overrides: &Overrides) -> Self {
        let mut reader = Self {
            entries: BTreeMap::new(),
            known: Vec::new(),
            findings: Vec::new(),
        };
        match DeTable::parse(text) {
            Ok(table) => reader.collect(text, "", table.get_ref()),
            Err(error) => {
                let line = error.span().map_or(1, |span| line_of(text, &span));
                reader.report(line, "file", error.message());
            }
        }
        for (key, value) in overrides {
            let value = match value.parse() {
                Ok(number) => Value::Integer(number),
                Err(_) => Value::Text(value.clone()),
            };
            reader.entries.insert(key.clone(), Entry { line: 0, value });
        }
        reader
    }

    fn collect(&mut self, text: &str, prefix: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let name = join(prefix, key.get_ref());
            match value.get_ref() {
                DeValue::Table(inner) => self.collect(text, &name, inner),
                _ => {
                    let entry = Entry {
                        line: line_of(text, &key.span()),
                        value: plain_value(value),
                    };
                    self.entries.insert(name, entry);
                }
            }
        }
    }

    /// Adds a finding.
    pub fn report(&mut self, line: usize, key: &str, message: impl Into<String>) {
        self.findings.push(Finding {
            line,
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// Line of a key; 0 if the key is a flag or missing.
    pub fn line_of_key(&self, key: &str) -> usize {
        self.entries.get(key).map_or(0, |entry| entry.line)
    }

    /// Whether a key was given.
    pub fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Reads a text; returns `None` if it is missing. Reports a value that is not a
    /// text.
    pub fn optional_text(&mut self, key: &'static str) -> Option<String> {
        self.known.push(key);
        let entry = self.entries.get(key)?;
        match &entry.value {
            Value::Text(text) => Some(text.clone()),
            Value::Integer(number) if entry.line == 0 => Some(number.to_string()),
            _ => {
                let line = entry.line;
                self.report(line, key, "expected a text in quotes");
                None
            }
        }
    }

    /// Reads a required text. Reports a missing key and returns an empty text.
    pub fn text(&mut self, key: &'static str) -> String {
        let given = self.has(key);
        let text = self.optional_text(key);
        if !given {
            self.report(0, key, "missing");
        }
        text.unwrap_or_default()
    }

    /// Reads a text with a default.
    pub fn text_or(&mut self, key: &'static str, default: &str) -> String {
        self.optional_text(key)
            .unwrap_or_else(|| default.to_owned())
    }

    /// Parses the text of a key as an IP address and port. Reports any other text and
    /// returns `None`.
    pub fn address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            let line = self.line_of_key(key);
            let message =
                format!("`{text}`: expected an IP address and port, such as 127.0.0.1:6432");
            self.report(line, key, message);
        }
        address
    }

    /// Reads a whole number within bounds, with a default. Reports any other value
    /// and returns the default.
    pub fn number_or(&mut self, key: &'static str, default: i64, least: i64, most: i64) -> i64 {
        self.known.push(key);
        let Some(entry) = self.entries.get(key) else {
            return default;
        };
        match entry.value {
            Value::Integer(number) if (least..=most).contains(&number) => number,
            _ => {
                let line = entry.line;
                let message = format!("expected a whole number from {least} to {most}");
                self.report(line, key, message);
                default
            }
        }
    }

    /// Reads one of a few words; the first is the default. Reports any other word and
    /// returns the default.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> T {
        let (_, default) = choices[0];
        let Some(text) = self.optional_text(key) else {
            return default;
        };
        match choices.iter().find(|(word, _)| *word == text) {
            Some((_, value)) => *value,
            None => {
                let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
                let line = self.line_of_key(key);
                let message = format!("`{text}`: expected one of {}", words.join(", "));
                self.report(line, key, message);
                default
            }
        }
    }

    /// Reads all texts of a section: their lines, keys without the prefix, and
    /// values.
    pub fn section(&mut self, prefix: &str) -> Vec<(usize, String, String)> {
        let mut found = Vec::new();
        for (key, entry) in &self.entries {
            let Some(rest) = key.strip_prefix(prefix) else {
                continue;
            };
            if let Value::Text(text) = &entry.value {
                found.push((entry.line, rest.to_owned(), text.clone()));
            }
        }
        found
    }

    /// Reports every key that was not read and is in none of the sections. Returns
    /// all findings, sorted.
    pub fn finish(mut self, sections: &[&str]) -> Vec<Finding> {
        let unknown: Vec<(usize, String)> = self
            .entries
            .iter()
            .filter(|(key, _)| !self.known.contains(&key.as_str()))
            .filter(|(key, _)| !sections.iter().any(|section| key.starts_with(section)))
            .map(|(key, entry)| (entry.line, key.clone()))
            .collect();
        let known = self.known.join(", ");
        for (line, key) in unknown {
            self.report(line, &key, format!("unknown key; known: {known}"));
        }
        self.findings.sort();
        self.findings
    }
}

fn join(prefix: &str, key: &str) -> String {
    if prefix.is_empty() {
        key.to_owned()
    } else {
        format!("{prefix}.{key}")
    }
}

fn plain_value(value: &Spanned<DeValue<'_>>) -> Value {
    match value.get_ref() {
        DeValue::String(text) => Value::Text(text.to_string()),
        DeValue::Integer(number) => i64::from_str_radix(number.as_str(), number.radix())
            .map_or(Value::Other, Value::Integer),
        _ => Value::Other,
    }
}

fn line_of(text: &str, span: &Range<usize>) -> usize {
    let before = &text.as_bytes()[..span.start.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
