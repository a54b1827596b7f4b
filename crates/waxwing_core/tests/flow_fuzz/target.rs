//! Model of a target with slots, and the faults that it can have.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetMode {
    Healthy,
    /// Runs each request for 50 to 700 ms. The timeout of the routes is 400 ms.
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
    /// Number of requests that may run at a time.
    pub(crate) slots: usize,
    /// Attempts whose requests are running.
    pub(crate) running: Vec<AttemptId>,
    /// Time in ms when the outage after the last crash ends.
    pub(crate) down_until_ms: u64,
}

/// Identity of the attempt that sent a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    /// Index of the VM.
    pub(crate) vm: usize,
    /// Number of the daemon process, which differs after a restart of the VM.
    pub(crate) process: u64,
    pub(crate) flow_id: u64,
    pub(crate) attempt: u64,
}
