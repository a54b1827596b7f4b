//! A simulated deployment on virtual time: the entry VMs run the core, and the network, the store,
//! the targets and the callers are small models.

mod caller;
mod case;
mod drive;
mod event;
mod ledger;
mod measure;
mod replay;
mod simple;
mod size;
mod target;
mod vm;
mod world;

pub use case::{CASES, Case, Fault};
pub use measure::Outcome;
pub use replay::replay;
pub use size::{DEPLOYMENTS, Size};
pub use world::World;

/// What decides in the entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum System {
    /// The core.
    Core,
    /// Targets in turn, with a fixed local limit of rate / number of VMs.
    RoundRobin,
    /// The target with the least reported load, with the same fixed local limit.
    LeastLoad,
}

impl System {
    /// Every system, the core first.
    pub const ALL: [Self; 3] = [Self::Core, Self::RoundRobin, Self::LeastLoad];

    /// The name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Core => "waxwing",
            Self::RoundRobin => "round_robin",
            Self::LeastLoad => "least_load",
        }
    }
}
