//! The signals that the process obeys.

use anyhow::Context as _;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// The signals of one process, taken over from their default actions.
pub(crate) struct StopSignals(Signals);

impl StopSignals {
    /// Takes SIGTERM, SIGINT and SIGHUP over.
    ///
    /// # Errors
    /// The signals cannot be taken over.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        Ok(Self(signals.context("signals")?))
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP announces changed settings, which are flags and environment
    /// variables and so stay as they are for the life of the process.
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
