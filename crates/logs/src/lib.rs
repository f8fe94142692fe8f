//! The loggers of both binaries: lines for people, or one JSON object a line. `simplelog` has no form
//! for machines, so that one is added to it here.

mod bounded;

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};
use serde::{Deserialize, Serialize};
use simplelog::{ColorChoice, CombinedLogger, Config, ConfigBuilder, SharedLogger, TermLogger, TerminalMode};

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Makes the logger; a second call does nothing.
pub fn init(level: LevelFilter, format: LogFormat) {
    let logger: Box<dyn SharedLogger> = match format {
        LogFormat::Text => {
            let config = ConfigBuilder::new().set_time_format_rfc3339().build();
            TermLogger::new(level, config, TerminalMode::Stderr, ColorChoice::Auto)
        }
        LogFormat::Json => Box::new(JsonLines { level }),
    };
    // A logger stands already if the process that embeds this made one.
    let _ = CombinedLogger::init(vec![logger]);
}

/// Makes the logger of a service on a platform: lines of `key=value` fields on standard output, bounded and
/// never blocking. A second call does nothing.
pub fn init_service(level: LevelFilter) {
    // A logger stands already if the process that embeds this made one.
    let _ = CombinedLogger::init(vec![service_logger(level, Box::new(std::io::stdout()))]);
}

/// The logger of a service, writing elsewhere. What was logged is lost if the process ends before it is flushed.
pub fn service_logger(level: LevelFilter, out: Box<dyn Write + Send>) -> Box<dyn SharedLogger> {
    Box::new(bounded::BoundedLines::new(level, out))
}

/// One JSON object a line on standard error.
struct JsonLines {
    level: LevelFilter,
}

impl Log for JsonLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let line = serde_json::json!({
            "at_ms": at as u64,
            "level": record.level().as_str(),
            "target": record.target(),
            "message": record.args().to_string(),
        });
        // Nothing can be done about a log that cannot be written.
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }

    fn flush(&self) {}
}

impl SharedLogger for JsonLines {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
