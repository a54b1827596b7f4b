//! Rate limits of workspaces that apply to all VMs together.
//!
//! Each VM has an equal share of a workspace's rate and burst. In each failure domain one VM coordinates the
//! quota of a workspace: it refills the shares of all VMs from which it gets heartbeats, and grants tokens to
//! the VMs whose requests need them. A VM that gets the heartbeats of its coordinator refills nothing itself;
//! any other VM refills its own share. The sender deducts tokens before it sends them, so the sum over all VMs
//! stays within rate and burst whatever messages are lost. The exception is a share that both VMs refill for
//! as long as only one of them gets the heartbeats of the other.

mod account;

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis, WorkspaceId, common_derives};

use account::{Account, ONE_TOKEN};

/// Shortest time between two token requests of a VM for waiting requests of a workspace.
const TOKEN_REQUEST_INTERVAL: Millis = Millis(3);
/// Shortest time between two such token requests if the first one brought no tokens, which means that the
/// workspace exceeds its quota.
const UNANSWERED_REQUEST_INTERVAL: Millis = Millis(40);
/// Number of exchange intervals for which a coordinator wants to hold the tokens that its failure domain
/// spends. Tokens from other regions take about half an interval to arrive.
const COORDINATOR_STOCK_INTERVALS: u64 = 3;
/// Least tokens that a coordinator wants to hold while its failure domain spends any.
const COORDINATOR_MIN_STOCK: u64 = 2 * ONE_TOKEN;
/// Number of exchange intervals for which a coordinator reserves the tokens that its failure domain spends,
/// when it grants tokens to other failure domains.
const COORDINATOR_RESERVE_INTERVALS: u64 = 1;
/// Number of received tokens that a VM may hold even if it needs fewer: one token request may bring several
/// grants.
const MAX_RECEIVED: u64 = 4;
/// Smallest amount that VMs transfer in a regular exchange.
const MIN_TRANSFER: u64 = ONE_TOKEN / 20;

common_derives! {
    copy
    /// Result of taking a token for a request.
    pub enum Admission {
        /// The request has its token and may run.
        Admitted,
        /// This VM has no token left.
        NoToken {
            /// Time until this VM's own share of the rate yields a token.
            wait: Millis,
        },
    }
}

common_derives! {
    /// What to do with a request that got no token.
    pub enum NoTokenAction {
        /// Ask another VM for these tokens, and let the request wait for them.
        RequestTokens(WorkspaceTokens),
        /// Let the request wait for tokens that were asked for a moment ago.
        Wait,
        /// Refuse the request, since the last token request brought no tokens.
        Refuse,
    }
}

common_derives! {
    /// An amount of quota tokens of one workspace, granted or requested.
    #[derive(Serialize, Deserialize)]
    pub struct WorkspaceTokens {
        /// The workspace to whose quota the tokens belong.
        pub workspace: WorkspaceId,
        /// Number of tokens; one token admits one request.
        pub amount: Micros,
    }
}

common_derives! {
    /// The VM that coordinates the quota of a workspace in a failure domain.
    pub enum QuotaCoordinator<A> {
        /// This VM.
        Local {
            /// Number of VMs whose shares of the quota this VM refills, itself included.
            vm_shares: usize,
        },
        /// Another VM, with its address.
        Remote(A),
    }
}

common_derives! {
    /// Tokens that a VM sends to its coordinator and asks it for.
    #[derive(Default)]
    pub struct TokenExchange {
        /// Tokens that the coordinator gets. The VM has already deducted them.
        pub granted: Vec<WorkspaceTokens>,
        /// Tokens that the VM wants.
        pub requested: Vec<WorkspaceTokens>,
    }
}

/// The quota tokens of all workspaces that one VM holds.
#[derive(Default)]
pub struct WorkspaceQuotas {
    /// Number of VMs between which quotas are divided, 0 until it is known.
    vm_count: u64,
    accounts: HashMap<WorkspaceId, Account>,
}

/// Commands.
impl WorkspaceQuotas {
    /// Sets the number of VMs between which quotas are divided.
    pub fn set_vm_count(&mut self, vm_count: usize) {
        self.vm_count = (vm_count as u64).max(1);
    }

    /// Updates the quotas of the workspaces. The refill of new ones starts here, so that tokens exist before the
    /// first request.
    pub fn update_specs<'a>(
        &mut self,
        now: Millis,
        specs: impl Iterator<Item = &'a WorkspaceSpec>,
    ) {
        for spec in specs.filter(|s| s.rate > 0) {
            self.account(now, spec);
        }
    }

    /// Takes a token for a new request, which counts as demand.
    pub fn admit(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        if spec.rate == 0 {
            return Admission::Admitted;
        }
        self.account(now, spec).arrivals += 1;
        self.retry_admit(now, spec)
    }

    /// Takes a token for a request that waited, and that [`Self::admit`] already counted as demand.
    pub fn retry_admit(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        let vm_count = self.vm_count();
        let account = self.account(now, spec);
        if account.try_take() {
            return Admission::Admitted;
        }
        account.no_token(vm_count)
    }

    /// Grants tokens to another VM of the failure domain, or to any VM with a waiting request: up to what the
    /// requests at this VM don't need, or up to half of its tokens if that is more.
    pub fn grant(&mut self, now: Millis, workspace: &WorkspaceId, requested: Micros) -> Micros {
        let vm_count = self.vm_count();
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Micros::ZERO;
        };
        account.advance(now, vm_count);
        let tokens = account.tokens();
        let spare = tokens
            .saturating_sub(account.need(vm_count))
            .max(tokens / 2);
        let granted = spare.min(requested.0);
        account.remove(granted);
        account.spent += granted;
        account.unmet += requested.0.min(ONE_TOKEN).saturating_sub(granted);
        Micros(granted)
    }

    /// Grants tokens to the coordinator of another failure domain: up to what this domain doesn't need soon.
    pub fn grant_surplus(
        &mut self,
        now: Millis,
        workspace: &WorkspaceId,
        requested: Micros,
    ) -> Micros {
        let vm_count = self.vm_count();
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Micros::ZERO;
        };
        account.advance(now, vm_count);
        let reserve = account.need(vm_count) + account.mean_spent * COORDINATOR_RESERVE_INTERVALS;
        let granted = account.tokens().saturating_sub(reserve).min(requested.0);
        account.remove(granted);
        Micros(granted)
    }

    /// Adds tokens that another VM granted. Tokens beyond what this VM may hold are lost.
    pub fn credit(&mut self, now: Millis, tokens: &WorkspaceTokens) {
        let vm_count = self.vm_count();
        if let Some(account) = self.accounts.get_mut(&tokens.workspace) {
            account.advance(now, vm_count);
            let max_received = account
                .need(vm_count)
                .max(ONE_TOKEN * MAX_RECEIVED)
                .max(account.received);
            let room = account
                .refill_capacity(vm_count)
                .saturating_sub(account.refilled);
            let to_refilled = tokens
                .amount
                .0
                .min(if account.is_coordinator { room } else { 0 });
            account.refilled += to_refilled;
            account.received = (account.received + tokens.amount.0 - to_refilled).min(max_received);
            account.token_request_pending = false;
        }
    }

    /// Prepares the regular exchange with the coordinators, by their address: surplus tokens, which are
    /// deducted here, and requests for missing ones. Also updates whether this VM is a coordinator itself.
    pub fn prepare_exchanges<A: Ord>(
        &mut self,
        now: Millis,
        coordinator_of: impl Fn(&WorkspaceId) -> QuotaCoordinator<A>,
    ) -> BTreeMap<A, TokenExchange> {
        let vm_count = self.vm_count();
        let mut exchanges: BTreeMap<A, TokenExchange> = BTreeMap::new();
        for (workspace, account) in &mut self.accounts {
            account.advance(now, vm_count);
            let coordinator = match coordinator_of(workspace) {
                QuotaCoordinator::Local { vm_shares } => {
                    account.is_coordinator = true;
                    account.vm_shares = vm_shares as u64;
                    continue;
                }
                QuotaCoordinator::Remote(coordinator) => coordinator,
            };
            account.is_coordinator = false;
            account.vm_shares = 0;
            let need = account.need(vm_count);
            let workspace_tokens = |amount| WorkspaceTokens {
                workspace: workspace.clone(),
                amount: Micros(amount),
            };
            let tokens = account.tokens();
            if tokens > need + MIN_TRANSFER {
                let surplus = tokens - need;
                account.remove(surplus);
                exchanges
                    .entry(coordinator)
                    .or_default()
                    .granted
                    .push(workspace_tokens(surplus));
            } else if need > tokens + MIN_TRANSFER {
                let missing = need - tokens;
                exchanges
                    .entry(coordinator)
                    .or_default()
                    .requested
                    .push(workspace_tokens(missing));
            }
        }
        exchanges
    }

    /// Tokens that this VM, as a coordinator, wants from the coordinators of other failure domains. To be
    /// called once for each exchange interval.
    pub fn shortages(&mut self, now: Millis) -> Vec<WorkspaceTokens> {
        let vm_count = self.vm_count();
        let mut shortages = Vec::new();
        for (workspace, account) in &mut self.accounts {
            account.advance(now, vm_count);
            let unmet = std::mem::take(&mut account.unmet);
            let spent = std::mem::take(&mut account.spent);
            account.mean_spent = (account.mean_spent * 3 + spent) / 4;
            let min_stock = if account.mean_spent > 0 {
                COORDINATOR_MIN_STOCK
            } else {
                0
            };
            let wanted = (unmet + account.mean_spent * COORDINATOR_STOCK_INTERVALS).max(min_stock)
                + account.need(vm_count);
            let room = account
                .refill_capacity(vm_count)
                .saturating_sub(account.tokens());
            let missing = wanted
                .saturating_sub(account.tokens())
                .min(room.max(COORDINATOR_MIN_STOCK));
            if account.is_coordinator && missing > MIN_TRANSFER {
                shortages.push(WorkspaceTokens {
                    workspace: workspace.clone(),
                    amount: Micros(missing),
                });
            }
        }
        shortages
    }

    /// Decides what to do with a request that got no token.
    pub fn on_no_token(&mut self, now: Millis, workspace: &WorkspaceId) -> NoTokenAction {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return NoTokenAction::Refuse;
        };
        let elapsed = now.since(account.last_token_request);
        if elapsed < TOKEN_REQUEST_INTERVAL {
            return NoTokenAction::Wait;
        }
        if account.token_request_pending && elapsed < UNANSWERED_REQUEST_INTERVAL {
            return NoTokenAction::Refuse;
        }
        account.last_token_request = now;
        account.token_request_pending = true;
        NoTokenAction::RequestTokens(WorkspaceTokens {
            workspace: workspace.clone(),
            amount: Micros::from_units(1),
        })
    }

    /// Number of VMs between which quotas are divided, at least 1.
    fn vm_count(&self) -> u64 {
        self.vm_count.max(1)
    }

    /// The account of a workspace, created if it is missing, with the current quota and refilled to now.
    fn account(&mut self, now: Millis, spec: &WorkspaceSpec) -> &mut Account {
        let vm_count = self.vm_count();
        let (rate, burst) = (spec.rate, spec.burst * ONE_TOKEN);
        let account = self
            .accounts
            .entry(spec.id.clone())
            .or_insert_with(|| Account::new(now, rate, burst, vm_count));
        account.advance(now, vm_count);
        account.rate = rate;
        account.burst = burst;
        account
    }
}
