//! Model of a target with slots, and the faults that it can have.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetMode {
    Healthy,
    Slow,
    /// Refuses every request with `X-Not-Run`.
    Shed,
    /// Responds with status 503 without running the request, and without `X-Not-Run`.
    Unmarked503,
    /// Accepts no connections.
    RefuseConnections,
    /// Breaks the connection before the request runs.
    BreakBeforeRun,
    /// Breaks the connection after the request ran.
    BreakAfterRun,
}

pub(crate) const ALL_TARGET_MODES: [TargetMode; 7] = [
    TargetMode::Healthy,
    TargetMode::Slow,
    TargetMode::Shed,
    TargetMode::Unmarked503,
    TargetMode::RefuseConnections,
    TargetMode::BreakBeforeRun,
    TargetMode::BreakAfterRun,
];

pub(crate) struct ModelTarget {
    pub(crate) mode: TargetMode,
    pub(crate) slots: usize,
    /// Attempts whose requests are running.
    pub(crate) running: Vec<AttemptId>,
    /// End of the outage after a crash, in ms.
    pub(crate) down_until: u64,
}

/// Identity of the attempt that sent a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) vm: usize,
    pub(crate) process: u64,
    pub(crate) flow: u64,
    pub(crate) attempt: u64,
}
