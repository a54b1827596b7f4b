//! What a call to the store can end in.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_types::{DomainId, Revision, VmId, common_derives};

common_derives! {
    /// An object as the store holds it.
    pub struct Object {
        /// Path in the store.
        pub path: SmolStr,
        /// Version of its last write.
        pub version: Revision,
        /// The value.
        pub value: Vec<u8>,
    }
}

common_derives! {
    /// The end of a read.
    pub enum ReadOutcome {
        /// The object.
        Found(Object),
        /// No object has this path.
        Absent,
        /// No answer, an answer that cannot be read, or a status that reports a failure.
        Unreachable(String),
    }
}

common_derives! {
    /// The end of a write or a deletion.
    pub enum WriteOutcome {
        /// The object was created and has this version.
        Created(Revision),
        /// The object was replaced or removed by the write with this version.
        Updated(Revision),
        /// The condition did not hold. Carries the object's present version if the store named it.
        Conflict(Option<Revision>),
        /// A version was required, or a deletion asked for, and no object has this path.
        Absent,
        /// The store refused the call as malformed or too large; it had no effect.
        Rejected {
            /// HTTP status.
            status: u16,
            /// The store's explanation.
            message: String,
        },
        /// Nothing was sent, so it had no effect.
        Unreachable(String),
        /// The request was sent and no usable answer came; it may have taken effect.
        Unknown(String),
    }
}

common_derives! {
    /// The end of a list or a watch.
    pub enum ChangesOutcome {
        /// The answer.
        Changes {
            /// Objects in the order of their versions.
            objects: Vec<Object>,
            /// Everything up to this revision has been reported.
            revision: Revision,
            /// Whether further objects follow after `revision` without waiting.
            more: bool,
        },
        /// No answer, an answer that cannot be read, or a status that reports a failure.
        Unreachable(String),
    }
}

common_derives! {
    copy
    /// What the platform intends with a VM.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// It is to serve.
        Live,
        /// It is to be stopped.
        Leaving,
    }
}

common_derives! {
    /// An entry VM on the platform's list.
    #[derive(Serialize, Deserialize)]
    pub struct Vm {
        /// Id of the VM.
        pub id: VmId,
        /// Its failure domain.
        pub domain: DomainId,
        /// Address for callers.
        pub client: SocketAddr,
        /// Address of the protocol between daemons.
        pub peer: SocketAddr,
        /// Address for requests that entry VMs of other regions pass on.
        pub peer_http: SocketAddr,
        /// What the platform intends with it.
        pub state: VmState,
    }
}

common_derives! {
    /// The end of a call for the list of VMs.
    pub enum VmsOutcome {
        /// The list.
        Listed(Vec<Vm>),
        /// No answer, an answer that cannot be read, or a status that reports a failure.
        Unreachable(String),
    }
}
