//! Quotas of workspaces over all VMs.
//!
//! Each VM holds an equal part of the rate and of the burst, and passes tokens that it does not need to
//! VMs that ask for them. Tokens are only moved, never made, so the sum over all VMs stays within rate
//! and burst whatever messages are lost and whichever VMs are cut off.

use std::collections::HashMap;

use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis, WorkspaceId, common_derives};

/// Span over which demand is averaged.
const DEMAND_SPAN: Millis = Millis(1000);
/// Demand ahead for which a VM wants to hold tokens.
const AHEAD: Millis = Millis(600);
/// Pause between two requests for tokens of one workspace.
const ASK_PAUSE: Millis = Millis(100);
/// Part of its burst, in percent, with which a process starts: the rules allow a tenth more than rate
/// and burst, and every process may start again at the same moment.
const START_PERCENT: u64 = 25;
/// Pause between two requests for a token that a request waits for.
const URGENT_PAUSE: Millis = Millis(15);
/// One token.
const ONE: u64 = Micros::PER_UNIT;

common_derives! {
    copy
    /// The end of an admission.
    pub enum Admission {
        /// The request may run.
        Admitted,
        /// No token is at hand. One is expected after the wait.
        Short {
            /// Time until the VM's own part holds a token.
            wait: Millis,
        },
    }
}

common_derives! {
    /// Tokens that a VM wants from others.
    pub struct QuotaNeed {
        /// Whose tokens.
        pub workspace: WorkspaceId,
        /// How many.
        pub amount: Micros,
    }
}

struct Account {
    tokens: u64,
    at: Millis,
    rate: u64,
    /// Millionths.
    burst: u64,
    /// Requests in 1000 s, averaged.
    demand: u64,
    arrivals: u64,
    span: Millis,
    asked: Millis,
    urgent: Millis,
}

/// The accounts of all workspaces on one VM.
#[derive(Default)]
pub struct Quota {
    vms: u64,
    accounts: HashMap<WorkspaceId, Account>,
}

/// Commands.
impl Quota {
    /// Adopts the number of VMs over which quotas are divided.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = (vms as u64).max(1);
    }

    /// Adopts the quotas of the workspaces, so that tokens exist before the first request.
    pub fn adopt<'a>(&mut self, now: Millis, specs: impl Iterator<Item = &'a WorkspaceSpec>) {
        for spec in specs.filter(|s| s.rate > 0) {
            self.account(now, spec);
        }
    }

    /// Takes a token for a request.
    pub fn admit(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        if spec.rate == 0 {
            return Admission::Admitted;
        }
        let vms = self.vms.max(1);
        let account = self.account(now, spec);
        account.arrivals += 1;
        if account.take() {
            return Admission::Admitted;
        }
        account.short(vms)
    }

    /// Takes a token for a request that was counted before.
    pub fn admit_again(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        let vms = self.vms.max(1);
        let account = self.account(now, spec);
        if account.take() {
            return Admission::Admitted;
        }
        account.short(vms)
    }

    /// Gives tokens to another VM: as many as this one does not need itself, or what it has if a request
    /// waits for them there.
    pub fn give(
        &mut self,
        now: Millis,
        workspace: &WorkspaceId,
        wanted: Micros,
        urgent: bool,
    ) -> Micros {
        let vms = self.vms.max(1);
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Micros::ZERO;
        };
        account.advance(now, vms);
        let kept = if urgent { 0 } else { account.need(vms) };
        let spare = account.tokens.saturating_sub(kept);
        let given = spare.min(wanted.0);
        account.tokens -= given;
        Micros(given)
    }

    /// Takes over tokens that another VM gave.
    pub fn credit(&mut self, now: Millis, workspace: &WorkspaceId, amount: Micros) {
        let vms = self.vms.max(1);
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.advance(now, vms);
            let most = (account.burst / vms).max(ONE) * 4;
            account.tokens = (account.tokens + amount.0).min(most.max(account.tokens));
        }
    }

    /// The tokens that this VM wants now. Each workspace is returned at most once in [`ASK_PAUSE`].
    pub fn needs(&mut self, now: Millis) -> Vec<QuotaNeed> {
        let vms = self.vms.max(1);
        let mut needs = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.advance(now, vms);
            if let Some(amount) = account.ask(now, vms) {
                needs.push(QuotaNeed {
                    workspace: workspace.clone(),
                    amount,
                });
            }
        }
        needs
    }

    /// The token that a request waits for, unless it was asked for a moment ago.
    pub fn need_of(&mut self, now: Millis, workspace: &WorkspaceId) -> Option<QuotaNeed> {
        let vms = self.vms.max(1);
        let account = self.accounts.get_mut(workspace)?;
        account.advance(now, vms);
        if now.since(account.urgent) < URGENT_PAUSE {
            return None;
        }
        account.urgent = now;
        let missing = ONE.saturating_sub(account.tokens);
        Some(QuotaNeed {
            workspace: workspace.clone(),
            amount: Micros(missing),
        })
    }

    fn account(&mut self, now: Millis, spec: &WorkspaceSpec) -> &mut Account {
        let vms = self.vms.max(1);
        let (rate, burst) = (spec.rate, spec.burst * ONE);
        if !self.accounts.contains_key(&spec.id) {
            let account = Account::new(now, rate, burst, vms);
            self.accounts.insert(spec.id.clone(), account);
        }
        let account = self
            .accounts
            .entry(spec.id.clone())
            .or_insert_with(|| Account::new(now, rate, burst, vms));
        account.advance(now, vms);
        account.rate = rate;
        account.burst = burst;
        account
    }
}

impl Account {
    fn new(now: Millis, rate: u64, burst: u64, vms: u64) -> Self {
        Self {
            tokens: burst * START_PERCENT / 100 / vms,
            at: now,
            rate,
            burst,
            demand: 0,
            arrivals: 0,
            span: now,
            asked: Millis::ZERO,
            urgent: Millis::ZERO,
        }
    }

    /// Adds the tokens of the time that passed, up to the VM's part of the burst.
    fn advance(&mut self, now: Millis, vms: u64) {
        let passed = now.since(self.at);
        self.at = now;
        // A rate for 1000 s is a rate of millionths for each ms.
        let refill = self.rate * passed.0 / vms;
        let most = (self.burst / vms).max(ONE);
        if self.tokens < most {
            self.tokens = (self.tokens + refill).min(most);
        }
        let span = now.since(self.span);
        if span >= DEMAND_SPAN {
            let demand = self.arrivals * 1_000_000 / span.0;
            self.demand = u64::midpoint(self.demand, demand);
            self.arrivals = 0;
            self.span = now;
        }
    }

    fn take(&mut self) -> bool {
        if self.tokens < ONE {
            return false;
        }
        self.tokens -= ONE;
        true
    }

    fn short(&self, vms: u64) -> Admission {
        let missing = ONE - self.tokens.min(ONE);
        let wait = missing * vms / self.rate.max(1);
        Admission::Short {
            wait: Millis(wait.max(1)),
        }
    }

    /// Tokens that the VM's own requests need soon beyond what its part yields meanwhile.
    fn need(&self, vms: u64) -> u64 {
        let present = self.arrivals * 1_000_000 / DEMAND_SPAN.0;
        let demand = self.demand.max(present);
        let short = demand.saturating_sub(self.rate / vms);
        (short * AHEAD.0).max(if demand > 0 { ONE } else { 0 })
    }

    fn ask(&mut self, now: Millis, vms: u64) -> Option<Micros> {
        let need = self.need(vms);
        let missing = need.saturating_sub(self.tokens);
        if missing == 0 || now.since(self.asked) < ASK_PAUSE {
            return None;
        }
        self.asked = now;
        Some(Micros(missing.max(ONE)))
    }
}
