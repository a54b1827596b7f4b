//! Structured logs on standard error.

use std::io::{self, Write};

use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use crate::settings::LogFormat;

/// Starts logging. The handle flushes when it is dropped.
///
/// # Errors
/// A logger is already set.
pub fn start(level: LevelFilter, format: LogFormat) -> Result<LoggerHandle, FlexiLoggerError> {
    let spec = LogSpecification::builder().default(level).build();
    let logger = Logger::with(spec).log_to_stderr().use_utc();
    match format {
        LogFormat::Text => logger.format(text),
        LogFormat::Json => logger.format(flexi_logger::json_format),
    }
    .start()
}

fn text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let stamp = now.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    write!(w, "{stamp} ")?;
    flexi_logger::default_format(w, now, record)
}
