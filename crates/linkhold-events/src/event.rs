//! Building and logging an event.

use std::fmt::{Display, Write};
use std::time::{Instant, SystemTime};

use log::{Level, LevelFilter};
use simplelog::{ConfigBuilder, WriteLogger};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::limit::{self, LogDecision};
use crate::queue::QueueWriter;

/// Log target of all events.
const TARGET: &str = "linkhold";

/// An event under construction. A suppressed event has no line.
pub struct Event {
    level: Level,
    line: Option<String>,
}

impl Event {
    /// Starts an informational event.
    pub fn info(name: &'static str) -> Self {
        Self::new(Level::Info, name)
    }

    /// Starts a warning.
    pub fn warn(name: &'static str) -> Self {
        Self::new(Level::Warn, name)
    }

    fn new(level: Level, name: &'static str) -> Self {
        if !log::log_enabled!(target: TARGET, level) {
            return Self { level, line: None };
        }
        match limit::check(name, Instant::now()) {
            LogDecision::Suppress => Self { level, line: None },
            LogDecision::Log { suppressed } => {
                let mut line = start_line(level, name);
                if suppressed > 0 {
                    let _ = write!(line, " left_out={suppressed}");
                }
                Self {
                    level,
                    line: Some(line),
                }
            }
        }
    }

    /// Adds a key=value pair.
    pub fn field(mut self, key: &'static str, value: impl Display) -> Self {
        if let Some(line) = &mut self.line {
            // Writing to a string cannot fail.
            let _ = write!(line, " {key}={}", quoted(&value.to_string()));
        }
        self
    }

    /// Logs the event.
    pub fn log(self) {
        if let Some(line) = self.line {
            log::log!(target: TARGET, self.level, "{line}");
        }
    }
}

fn start_line(level: Level, name: &str) -> String {
    let time = OffsetDateTime::from(SystemTime::now())
        .format(&Rfc3339)
        .unwrap_or_default();
    let level = level.as_str().to_ascii_lowercase();
    format!("time={time} level={level} event={name}")
}

/// Quotes and escapes a value unless it consists of plain characters only.
pub fn quoted(value: &str) -> String {
    let is_plain =
        |character: char| character.is_ascii_alphanumeric() || "-_.:/,+".contains(character);
    if !value.is_empty() && value.chars().all(is_plain) {
        return value.to_owned();
    }
    let mut output = String::with_capacity(value.len() + 2);
    output.push('"');
    for character in value.chars() {
        match character {
            '"' | '\\' => {
                output.push('\\');
                output.push(character);
            }
            control if control.is_control() => output.extend(control.escape_unicode()),
            other => output.push(other),
        }
    }
    output.push('"');
    output
}

/// Starts logging to standard output; callers never block on the output. Later
/// calls in a process have no effect.
pub fn start_logging(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(TARGET)
        .build();
    let writer = QueueWriter::start(std::io::stdout());
    // Fails if the process has a logger already; that logger stays in use.
    let _ = WriteLogger::init(level, config, writer);
}
