//! How a VM reads a family next.

use waxwing_store::Freshness;
use waxwing_types::common_derives;

use super::super::origin::ReadSource;

common_derives! {
    copy
    /// Which state of the store the next watch of a family reads, and for how long it waits.
    pub(crate) enum WatchMode {
        /// The latest state, for as long as a silence of the store may last unnoticed.
        Latest,
        /// The latest state, for as long as the history of the store allows: after a restore, when a recent state may be that
        /// of before.
        Restored,
        /// A recent state, for as long as the history of the store allows.
        Recent,
        /// No state: the reports of store readers show that this VM has all changes. It waits for a report of one that it
        /// lacks.
        Reported,
        /// A recent state, without waiting: whether it has reached the list that another VM started from.
        Probe,
        /// The latest state, without waiting, to fetch changes that other VMs have reported, or because nothing has confirmed
        /// the state for too long.
        CatchUp,
    }
}

impl WatchMode {
    pub(crate) const fn source(self) -> ReadSource {
        match self {
            Self::Latest | Self::Restored | Self::Recent | Self::Reported | Self::Probe => {
                ReadSource::Watch
            }
            Self::CatchUp => ReadSource::CatchUp,
        }
    }

    /// Whether the call waits for a change, so that it may be ended for a read that waits for nothing. A read that was begun is
    /// brought to its end: a later one would have to begin anew, and a change each time would keep it from ever ending.
    pub(super) const fn waits(self) -> bool {
        match self {
            Self::Latest | Self::Restored | Self::Recent | Self::Reported => true,
            Self::Probe | Self::CatchUp => false,
        }
    }

    pub(crate) const fn freshness(self) -> Freshness {
        match self {
            Self::Latest | Self::Restored | Self::CatchUp => Freshness::Latest,
            Self::Recent | Self::Reported | Self::Probe => Freshness::Recent,
        }
    }
}
