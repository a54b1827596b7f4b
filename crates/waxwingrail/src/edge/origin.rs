//! Where entries of the registry were read, for logs and metrics.

use waxwing_types::{Millis, common_derives};

common_derives! {
    key
    /// The way on which entries reached this VM.
    pub(crate) enum ReadSource {
        /// The first list of the process, or a list after a loss of history.
        List,
        /// A watch that waited for a change.
        Watch,
        /// A read of the latest state, because a report lacked here or nothing had confirmed the state.
        CatchUp,
        /// The first read after a failed call.
        Resume,
        /// The first list after a restore of the store.
        Restore,
        /// A datagram of a store reader with the items that changed.
        Patch,
    }
}

impl ReadSource {
    /// Every source, in the order of declaration.
    pub(crate) const ALL: &'static [Self] = &[
        Self::List,
        Self::Watch,
        Self::CatchUp,
        Self::Resume,
        Self::Restore,
        Self::Patch,
    ];

    /// The source as logs and metrics show it.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::CatchUp => "catch_up",
            Self::Resume => "resume",
            Self::Restore => "restore",
            Self::Patch => "patch",
        }
    }
}

common_derives! {
    copy
    /// The call or datagram that held entries.
    pub(crate) struct Origin {
        pub(crate) source: ReadSource,
        /// Size of the answer or datagram.
        pub(crate) bytes: u64,
        /// When the call was sent, or the datagram received. A watch waits from then on.
        pub(crate) sent_at: Millis,
    }
}
