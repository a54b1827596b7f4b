//! Commands to the store double.

use serde::{Deserialize, Serialize};
use waxwing_store::Vm;

/// A change of the double's behaviour. Fields that are left out stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Time before each answer, in milliseconds. A write has taken effect by then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Whether every call fails without effect, and watches that wait are cut off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Number of coming writes that take effect and whose answer is lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// Only writes under this prefix lose their answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_prefix: Option<String>,
    /// The VMs that the platform runs from now on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<Vec<Vm>>,
    /// Time until the list shows a change of the VMs, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vms_lag_ms: Option<u64>,
}
