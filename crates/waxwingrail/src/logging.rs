//! Writes structured logs to standard error.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use crate::settings::LogFormat;

/// Installs the logger of the process. Dropping the returned handle flushes the log.
///
/// # Errors
/// If a logger is already installed.
pub fn start(level: LevelFilter, format: LogFormat) -> Result<LoggerHandle, FlexiLoggerError> {
    let spec = LogSpecification::builder().default(level).build();
    let logger = Logger::with(spec).log_to_stderr().use_utc();
    match format {
        LogFormat::Text => logger.format(write_text),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    }
    .start()
}

/// Writes a record as a line of text with its time in UTC.
fn write_text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let timestamp = now.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    write!(w, "{timestamp} ")?;
    flexi_logger::default_format(w, now, record)
}
