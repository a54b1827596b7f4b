//! The datagrams that VMs send to each other.

use serde::{Deserialize, Serialize};
use waxwing_records::DeploymentPatch;
use waxwing_types::{Incarnation, Millis, Revision, StoreEpoch, VmId, common_derives};

use crate::{RequestName, TargetAlert, TargetObservation, TargetProcess, WorkspaceTokens};

common_derives! {
    /// A message between VMs, encoded as JSON. The serde names are part of the wire format.
    #[derive(Serialize, Deserialize)]
    #[serde(tag = "t", rename_all = "snake_case")]
    pub enum PeerMessage {
        /// Reports that the sender is alive.
        #[serde(rename = "beat")]
        Heartbeat {
            /// The sender.
            vm: VmId,
            /// Incarnation of the sender's process.
            incarnation: Incarnation,
            /// Whether the sender accepts requests of callers.
            ready: bool,
            /// What the sender has observed of targets since its last heartbeat.
            #[serde(default, skip_serializing_if = "Vec::is_empty")]
            targets: Vec<TargetObservation>,
        },
        /// Transfers quota tokens to the receiver and asks the receiver for quota tokens.
        Quota {
            /// Tokens that the receiver gets. The sender has already deducted these tokens.
            #[serde(rename = "give")]
            granted: Vec<WorkspaceTokens>,
            /// Tokens that the sender wants.
            #[serde(rename = "ask")]
            requested: Vec<WorkspaceTokens>,
            /// Whether a caller's request is waiting for the requested tokens.
            urgent: bool,
        },
        /// Reports up to which change the sender knows the registry, and as of when.
        #[serde(rename = "news")]
        StateReport(StateReport),
        /// Contains what the latest versions of the deployment changed.
        #[serde(rename = "patch")]
        DeploymentPatch {
            /// Epoch of the store in which the revision holds, if the sender knows one.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            epoch: Option<StoreEpoch>,
            /// Revision of the last change of the deployment that the sender has read. The result of the patch contains it.
            #[serde(rename = "seen")]
            revision: Revision,
            /// The changes.
            #[serde(rename = "of")]
            patch: DeploymentPatch,
        },
        /// Reports targets whose processes may have ended, or are cold.
        #[serde(rename = "alert")]
        TargetAlerts {
            /// One alert for each target.
            #[serde(rename = "of")]
            alerts: Vec<TargetAlert>,
        },
        /// Reports a request that was running when its target crashed.
        #[serde(rename = "crash")]
        TargetCrash {
            /// The request.
            #[serde(rename = "print")]
            name: RequestName,
            /// The process that crashed. Several VMs may report the same one.
            #[serde(default)]
            process: TargetProcess,
            /// Time since the crash was found.
            #[serde(default)]
            age: Millis,
        },
        /// Reports that a target has answered a request, so that the request did not cause these crashes.
        #[serde(rename = "excuse")]
        CrashesExcused {
            /// The request.
            #[serde(rename = "print")]
            name: RequestName,
            /// The processes that crashed while they were running the request.
            #[serde(rename = "of")]
            processes: Vec<TargetProcess>,
        },
    }
}

common_derives! {
    /// What a VM knows of the registry. A family is one kind of registry entries; all lists are in the order of
    /// `Family::ALL`.
    #[derive(Serialize, Deserialize)]
    pub struct StateReport {
        /// Revision of the last change of each family.
        #[serde(rename = "seen")]
        pub revisions: Vec<Revision>,
        /// Epoch of the store in which the revisions hold, if the sender knows one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub epoch: Option<StoreEpoch>,
        /// Revision from which on the sender knows the changes of each family: that of the list that it started from. A
        /// receiver that knows less may lack a change that the list contains.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub floors: Vec<Revision>,
        /// Age of the sender's state of each family in ms: time since which the sender is known to have all changes. `None`
        /// if that is not known. A report without floors or ages confirms nothing.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub ages: Vec<Option<Millis>>,
    }
}
