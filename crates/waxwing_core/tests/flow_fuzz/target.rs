//! Model of a target: slots, shedding, crashes, slowness, broken connections.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Good,
    Slow,
    /// Refuses every request with `X-Not-Run`.
    Shed,
    /// Answers 503 without running the request and without saying so.
    Silent,
    /// No connection can be opened.
    Closed,
    /// The connection breaks before the request runs.
    BreakBefore,
    /// The connection breaks after the request ran.
    BreakAfter,
}

pub(crate) const MODES: [Mode; 7] = [
    Mode::Good,
    Mode::Slow,
    Mode::Shed,
    Mode::Silent,
    Mode::Closed,
    Mode::BreakBefore,
    Mode::BreakAfter,
];

pub(crate) struct Target {
    pub(crate) mode: Mode,
    pub(crate) slots: usize,
    /// Attempts that run now.
    pub(crate) running: Vec<Sender>,
    pub(crate) down_until: u64,
}

/// The attempt that sent a request: VM, its process, flow, attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sender {
    pub(crate) vm: usize,
    pub(crate) process: u64,
    pub(crate) flow: u64,
    pub(crate) attempt: u64,
}
