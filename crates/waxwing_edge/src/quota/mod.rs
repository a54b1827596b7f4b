//! Quotas of workspaces over all VMs.
//!
//! Each VM has an equal part of the rate and of the burst. In each failure domain one VM keeps the tokens
//! of a workspace: it adds the parts of the VMs that it hears, and gives tokens to VMs whose requests need
//! them. A VM that hears its keeper adds nothing itself; one that does not adds its own part. Tokens that
//! are moved are never made, so the sum over all VMs stays within rate and burst whatever messages are
//! lost, but for a part that both sides add for as long as only one of them hears the other.

mod account;

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis, WorkspaceId, common_derives};

use account::{Account, ONE};

/// Pause between two requests for a token that a request waits for.
const URGENT_PAUSE: Millis = Millis(3);
/// The same after one that brought nothing: the workspace asks for more than its quota.
const DRY_PAUSE: Millis = Millis(40);
/// Exchanges for which a keeper wants to hold what its failure domain spends: tokens of other regions
/// take about half an exchange to come.
const KEPT_AHEAD: u64 = 3;
/// Tokens that a keeper wants to hold while its failure domain spends any.
const KEPT_LEAST: u64 = 2 * ONE;
/// Exchanges for which it holds that back from others.
const KEPT_BACK: u64 = 1;
/// Tokens of others that any VM takes over: several answers may come for one request.
const MOST_HELD: u64 = 4;
/// Tokens below which a VM does not hand them over.
const LEAST_MOVED: u64 = ONE / 20;

common_derives! {
    copy
    /// The end of an admission.
    pub enum Admission {
        /// The request may run.
        Admitted,
        /// No token is at hand. One is expected after the wait.
        NoToken {
            /// Time until the VM's own part holds a token.
            wait: Millis,
        },
    }
}

common_derives! {
    /// What to do for a request that finds no token.
    pub enum NoTokenAction {
        /// Ask for these tokens and wait.
        RequestTokens(WorkspaceTokens),
        /// Tokens were asked for a moment ago; wait.
        Wait,
        /// The last request for tokens brought nothing.
        Refuse,
    }
}

common_derives! {
    /// Tokens of one workspace, given or asked for.
    #[derive(Serialize, Deserialize)]
    pub struct WorkspaceTokens {
        /// Whose tokens.
        pub workspace: WorkspaceId,
        /// How many.
        pub amount: Micros,
    }
}

common_derives! {
    /// Who keeps the tokens of a workspace in a failure domain.
    pub enum QuotaCoordinator<A> {
        /// This VM, for a number of VMs with itself.
        Local {
            /// Number of VMs whose parts it adds.
            vm_shares: usize,
        },
        /// Another VM, which this one hears.
        Remote(A),
    }
}

common_derives! {
    /// What a VM tells a keeper.
    #[derive(Default)]
    pub struct TokenExchange {
        /// Tokens that it hands over, which it has already deducted.
        pub granted: Vec<WorkspaceTokens>,
        /// Tokens that it wants.
        pub requested: Vec<WorkspaceTokens>,
    }
}

/// The accounts of all workspaces on one VM.
#[derive(Default)]
pub struct WorkspaceQuotas {
    vms: u64,
    accounts: HashMap<WorkspaceId, Account>,
}

/// Commands.
impl WorkspaceQuotas {
    /// Adopts the number of VMs over which quotas are divided.
    pub fn set_vm_count(&mut self, vms: usize) {
        self.vms = (vms as u64).max(1);
    }

    /// Adopts the quotas of the workspaces, so that tokens exist before the first request.
    pub fn update_specs<'a>(
        &mut self,
        now: Millis,
        specs: impl Iterator<Item = &'a WorkspaceSpec>,
    ) {
        for spec in specs.filter(|s| s.rate > 0) {
            self.account(now, spec);
        }
    }

    /// Takes a token for a request.
    pub fn admit(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        if spec.rate == 0 {
            return Admission::Admitted;
        }
        self.account(now, spec).arrivals += 1;
        self.retry_admit(now, spec)
    }

    /// Takes a token for a request that was counted before.
    pub fn retry_admit(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        let vms = self.divisor();
        let account = self.account(now, spec);
        if account.take() {
            return Admission::Admitted;
        }
        account.short(vms)
    }

    /// Gives tokens to another VM of the failure domain: what this one does not need itself, or half of
    /// what it has if its own requests need more.
    pub fn grant(&mut self, now: Millis, workspace: &WorkspaceId, wanted: Micros) -> Micros {
        let vms = self.divisor();
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Micros::ZERO;
        };
        account.advance(now, vms);
        let tokens = account.tokens();
        let spare = tokens.saturating_sub(account.need(vms)).max(tokens / 2);
        let given = spare.min(wanted.0);
        account.spend(given);
        account.served += given;
        account.unmet += wanted.0.min(ONE).saturating_sub(given);
        Micros(given)
    }

    /// Gives tokens to the keeper of another failure domain: what this domain does not need soon.
    pub fn grant_surplus(
        &mut self,
        now: Millis,
        workspace: &WorkspaceId,
        wanted: Micros,
    ) -> Micros {
        let vms = self.divisor();
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Micros::ZERO;
        };
        account.advance(now, vms);
        let kept = account.need(vms) + account.spent * KEPT_BACK;
        let given = account.tokens().saturating_sub(kept).min(wanted.0);
        account.spend(given);
        Micros(given)
    }

    /// Takes over tokens that another VM gave.
    pub fn credit(&mut self, now: Millis, part: &WorkspaceTokens) {
        let vms = self.divisor();
        if let Some(account) = self.accounts.get_mut(&part.workspace) {
            account.advance(now, vms);
            let most = account.need(vms).max(ONE * MOST_HELD).max(account.held);
            let room = account.own_most(vms).saturating_sub(account.own);
            let kept = part.amount.0.min(if account.kept { room } else { 0 });
            account.own += kept;
            account.held = (account.held + part.amount.0 - kept).min(most);
            account.pending = false;
        }
    }

    /// What this VM tells the keeper of each workspace.
    pub fn prepare_exchanges<K: Ord>(
        &mut self,
        now: Millis,
        keeper: impl Fn(&WorkspaceId) -> QuotaCoordinator<K>,
    ) -> BTreeMap<K, TokenExchange> {
        let vms = self.divisor();
        let mut news: BTreeMap<K, TokenExchange> = BTreeMap::new();
        for (workspace, account) in &mut self.accounts {
            account.advance(now, vms);
            let keeper = match keeper(workspace) {
                QuotaCoordinator::Local { vm_shares } => {
                    account.kept = true;
                    account.parts = vm_shares as u64;
                    continue;
                }
                QuotaCoordinator::Remote(keeper) => keeper,
            };
            account.kept = false;
            account.parts = 0;
            let need = account.need(vms);
            let part = |amount| WorkspaceTokens {
                workspace: workspace.clone(),
                amount: Micros(amount),
            };
            let tokens = account.tokens();
            if tokens > need + LEAST_MOVED {
                let surplus = tokens - need;
                account.spend(surplus);
                news.entry(keeper).or_default().granted.push(part(surplus));
            } else if need > tokens + LEAST_MOVED {
                let missing = need - tokens;
                news.entry(keeper)
                    .or_default()
                    .requested
                    .push(part(missing));
            }
        }
        news
    }

    /// Tokens that this VM wants from the keepers of other failure domains.
    pub fn shortages(&mut self, now: Millis) -> Vec<WorkspaceTokens> {
        let vms = self.divisor();
        let mut parts = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.advance(now, vms);
            let unmet = std::mem::take(&mut account.unmet);
            let served = std::mem::take(&mut account.served);
            account.spent = (account.spent * 3 + served) / 4;
            let least = if account.spent > 0 { KEPT_LEAST } else { 0 };
            let wanted = (unmet + account.spent * KEPT_AHEAD).max(least) + account.need(vms);
            let room = account.own_most(vms).saturating_sub(account.tokens());
            let missing = wanted
                .saturating_sub(account.tokens())
                .min(room.max(KEPT_LEAST));
            if account.kept && missing > LEAST_MOVED {
                parts.push(WorkspaceTokens {
                    workspace: workspace.clone(),
                    amount: Micros(missing),
                });
            }
        }
        parts
    }

    /// What to do for a request that finds no token.
    pub fn on_no_token(&mut self, now: Millis, workspace: &WorkspaceId) -> NoTokenAction {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return NoTokenAction::Refuse;
        };
        let since = now.since(account.urgent);
        if since < URGENT_PAUSE {
            return NoTokenAction::Wait;
        }
        if account.pending && since < DRY_PAUSE {
            return NoTokenAction::Refuse;
        }
        account.urgent = now;
        account.pending = true;
        NoTokenAction::RequestTokens(WorkspaceTokens {
            workspace: workspace.clone(),
            amount: Micros::from_units(1),
        })
    }

    /// Number of VMs over which quotas are divided.
    fn divisor(&self) -> u64 {
        self.vms.max(1)
    }

    fn account(&mut self, now: Millis, spec: &WorkspaceSpec) -> &mut Account {
        let vms = self.divisor();
        let (rate, burst) = (spec.rate, spec.burst * ONE);
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
