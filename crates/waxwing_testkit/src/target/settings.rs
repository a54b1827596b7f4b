//! How a target double behaves.

use serde::{Deserialize, Serialize};
use waxwing_types::Millis;

/// Behaviour of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// Name, which it reports in the header `X-Target`.
    pub name: String,
    /// Requests that it runs at once. Further ones are shed.
    pub slots: u32,
    /// Time to run a request.
    pub latency: Millis,
    /// Time after a start during which requests take up to three times as long.
    pub cold: Millis,
    /// Time between a crash and the next start.
    pub down: Millis,
    /// A request whose path or body contains this text crashes the target.
    pub poison: Option<String>,
    /// Whether it sheds all new work.
    pub draining: bool,
    /// Requests that it reports as running, instead of the true number.
    pub reported: Option<u32>,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            name: "target".into(),
            slots: 4,
            latency: Millis(5),
            cold: Millis::ZERO,
            down: Millis(500),
            poison: None,
            draining: false,
            reported: None,
        }
    }
}

/// A change of a target's behaviour. Fields that are left out stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetControl {
    /// See [`TargetSettings::slots`].
    pub slots: Option<u32>,
    /// See [`TargetSettings::latency`].
    pub latency_ms: Option<u64>,
    /// See [`TargetSettings::cold`].
    pub cold_ms: Option<u64>,
    /// See [`TargetSettings::down`].
    pub down_ms: Option<u64>,
    /// See [`TargetSettings::poison`]. Empty: no poison.
    pub poison: Option<String>,
    /// See [`TargetSettings::draining`].
    pub draining: Option<bool>,
    /// See [`TargetSettings::reported`]. Negative: the true number.
    pub reported: Option<i64>,
    /// Crashes the target after the other changes.
    pub crash: bool,
}

impl TargetSettings {
    pub(super) fn apply(&mut self, control: &TargetControl) {
        self.slots = control.slots.unwrap_or(self.slots);
        self.latency = control.latency_ms.map_or(self.latency, Millis);
        self.cold = control.cold_ms.map_or(self.cold, Millis);
        self.down = control.down_ms.map_or(self.down, Millis);
        self.draining = control.draining.unwrap_or(self.draining);
        if let Some(poison) = &control.poison {
            self.poison = Some(poison.clone()).filter(|p| !p.is_empty());
        }
        if let Some(reported) = control.reported {
            self.reported = u32::try_from(reported).ok();
        }
    }
}

/// The answer to `GET /load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run now.
    pub running: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Whether new work is shed.
    pub draining: bool,
}
