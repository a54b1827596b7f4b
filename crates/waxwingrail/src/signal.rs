//! Handling of the signals that stop the process.

use anyhow::Context as _;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Receives SIGTERM, SIGINT and SIGHUP in place of their default actions.
pub(crate) struct StopSignals(Signals);

impl StopSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If the handlers cannot be installed.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        Ok(Self(
            signals.context("failed to install the signal handlers")?,
        ))
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP asks to reload the settings; it is only logged, because
    /// settings are flags and environment variables, which do not change during the life of the
    /// process.
    pub(crate) async fn wait(&mut self) {
        while let Some(signal) = self.0.next().await {
            match signal {
                Ok(Signal::Hup) => log::info!("SIGHUP received; settings are read at start only"),
                Ok(signal) => {
                    log::info!(signal:? = signal; "signal received");
                    return;
                }
                Err(error) => {
                    log::warn!(error = error.to_string().as_str(); "signal not read");
                }
            }
        }
    }
}
