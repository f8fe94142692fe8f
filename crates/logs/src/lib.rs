//! Loggers of the binaries: lines for people, or one JSON object per line.
//!
//! `simplelog` has no JSON output, so this crate adds it.

mod bounded;

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};
use serde::{Deserialize, Serialize};
use simplelog::{ColorChoice, CombinedLogger, Config, ConfigBuilder, SharedLogger, TermLogger, TerminalMode};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people, with RFC 3339 times.
    Text,
    /// One JSON object per line.
    Json,
}

/// Installs a logger that writes to standard error. Idempotent: a second call does nothing.
pub fn init(level: LevelFilter, format: LogFormat) {
    let logger: Box<dyn SharedLogger> = match format {
        LogFormat::Text => {
            let config = ConfigBuilder::new().set_time_format_rfc3339().build();
            TermLogger::new(level, config, TerminalMode::Stderr, ColorChoice::Auto)
        }
        LogFormat::Json => Box::new(JsonLines { level }),
    };
    // Fails only if a logger is installed already, also by an embedding process.
    let _ = CombinedLogger::init(vec![logger]);
}

/// Installs the logger of a service on a platform. It writes lines of `key=value` fields to standard output, limits
/// their number and never blocks. Idempotent: a second call does nothing.
pub fn init_service(level: LevelFilter) {
    // Fails only if a logger is installed already, also by an embedding process.
    let _ = CombinedLogger::init(vec![service_logger(level, Box::new(std::io::stdout()))]);
}

/// Returns the logger of a service that writes to `out`. Lines are lost if the process ends without a flush.
pub fn service_logger(level: LevelFilter, out: Box<dyn Write + Send>) -> Box<dyn SharedLogger> {
    Box::new(bounded::BoundedLines::new(level, out))
}

/// Logger that writes one JSON object per line to standard error.
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
        // A failed write cannot be reported anywhere else.
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
