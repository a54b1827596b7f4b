//! Entries by which targets and entry VMs make themselves known.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwing_types::{
    DomainId, Incarnation, Millis, RegionId, ServiceId, TargetId, VmId, common_derives,
};

common_derives! {
    copy
    /// What a target says of its life.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetState {
        /// It takes requests.
        Ready,
        /// It is about to leave and takes no new requests.
        Draining,
    }
}

common_derives! {
    /// The entry of a target.
    #[derive(Serialize, Deserialize)]
    pub struct Registration {
        /// The target.
        pub id: TargetId,
        /// Start of its present process, in Unix milliseconds; distinguishes processes of one id.
        pub incarnation: Incarnation,
        /// Service that it runs.
        pub service: ServiceId,
        /// Address for requests.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// What it says of its life.
        pub state: TargetState,
        /// Time for which it stays cold from the moment of the entry.
        pub cold_left: Millis,
    }
}

common_derives! {
    /// The entry of an entry VM.
    #[derive(Serialize, Deserialize)]
    pub struct VmEntry {
        /// The VM.
        pub id: VmId,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its region.
        pub region: RegionId,
        /// Address for callers.
        pub client: SocketAddr,
        /// Address for datagrams of other VMs.
        pub peer: SocketAddr,
        /// Its present process.
        pub incarnation: Incarnation,
    }
}
