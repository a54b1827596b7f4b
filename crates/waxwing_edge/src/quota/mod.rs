//! Rate limits of workspaces that apply to all VMs together.
//!
//! Each VM has an equal share of a workspace's rate and burst. In each failure domain one VM, the quota
//! coordinator, refills the shares of all VMs from which it gets heartbeats, and grants tokens to the VMs
//! whose requests need them. A VM that gets the heartbeats of its coordinator refills nothing itself; any
//! other VM refills its own share.
//!
//! At a fixed interval (the exchange interval), each VM sends surplus tokens to its coordinator and asks for
//! missing tokens. In between, a VM without a token for a waiting request asks another VM for one token (a
//! token request).
//!
//! The sender deducts tokens before it sends them, so lost messages never raise the sum over all VMs above
//! rate and burst. There is one exception: if the coordinator gets the heartbeats of a VM, but the VM doesn't
//! get the heartbeats of the coordinator, both refill the share of the VM.

mod account;

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Micros, Millis, WorkspaceId, common_derives};

use account::{Account, ONE_TOKEN};

/// Shortest time between two token requests of a VM for the same workspace.
const TOKEN_REQUEST_INTERVAL: Millis = Millis(3);
/// Shortest time between two token requests for the same workspace if the first token request brought no
/// tokens, which means that the workspace exceeds its quota.
const UNANSWERED_REQUEST_INTERVAL: Millis = Millis(40);
/// Stock of tokens that a coordinator wants to hold, as a multiple of the tokens that its failure domain
/// spends in an exchange interval. Tokens from other regions take about half an interval to arrive.
const COORDINATOR_STOCK_INTERVALS: u64 = 3;
/// Smallest stock of tokens that a coordinator wants to hold while its failure domain spends tokens, in
/// millionths of a token.
const COORDINATOR_MIN_STOCK: u64 = 2 * ONE_TOKEN;
/// Tokens that a coordinator keeps when it grants tokens to other failure domains, as a multiple of the
/// tokens that its own failure domain spends in an exchange interval.
const COORDINATOR_RESERVE_INTERVALS: u64 = 1;
/// Amount that a VM's surplus or shortage must exceed to be part of a regular exchange, in millionths of a
/// token.
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
    /// What to do with a caller's request that got no token.
    pub enum NoTokenAction {
        /// Ask another VM for these tokens, and let the caller's request wait for them.
        RequestTokens(WorkspaceTokens),
        /// Let the caller's request wait: this VM sent a token request a moment ago, which may bring a token.
        Wait,
        /// Refuse the caller's request, since the last token request brought no tokens.
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
    /// The VM that refills and distributes the quota of a workspace in a failure domain.
    pub enum QuotaCoordinator<A> {
        /// This VM.
        Local {
            /// Number of VMs whose shares of the quota this VM refills, including this VM itself.
            share_count: usize,
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
    /// Number of VMs between which quotas are divided, 0 until it is known. Until then, no account gets tokens.
    vm_count: u64,
    accounts: HashMap<WorkspaceId, Account>,
}

/// Commands.
impl WorkspaceQuotas {
    /// Updates the quotas of the workspaces, and drops the part of their tokens that a lower burst no longer allows. A new
    /// workspace has no tokens until its coordinator is known. The account of a workspace that is no longer listed stays: a
    /// new one would get initial tokens again.
    pub fn update_specs<'a>(
        &mut self,
        now: Millis,
        specs: impl Iterator<Item = &'a WorkspaceSpec>,
    ) {
        for spec in specs.filter(|s| s.rate > 0) {
            self.account(now, spec)
                .set_limit(spec.rate, spec.burst * ONE_TOKEN);
        }
    }

    /// Takes a token for a new request, and counts the request as demand. The limit stays that of the last
    /// [`Self::update_specs`], since the request may have been accepted under an older deployment.
    pub fn admit(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        if spec.rate == 0 {
            return Admission::Admitted;
        }
        self.account(now, spec).arrivals += 1;
        self.retry_admit(now, spec)
    }

    /// Takes a token for a caller's request that got none before. The request is not counted as demand again.
    pub fn retry_admit(&mut self, now: Millis, spec: &WorkspaceSpec) -> Admission {
        let vm_count = self.vm_count();
        let account = self.account(now, spec);
        if account.try_take() {
            return Admission::Admitted;
        }
        account.no_token(vm_count)
    }

    /// Grants tokens to another VM of the failure domain, or to any VM with a waiting request. The limit is
    /// the tokens that the requests at this VM don't need, but at least half of this VM's tokens. The
    /// granted tokens are deducted.
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

    /// Grants tokens to the coordinator of another failure domain. The limit is the tokens that this failure
    /// domain doesn't need soon. The granted tokens are deducted.
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

    /// Adds tokens that another VM granted. Tokens above the limit on received tokens are lost.
    pub fn credit(&mut self, now: Millis, tokens: &WorkspaceTokens) {
        let vm_count = self.vm_count();
        if let Some(account) = self.accounts.get_mut(&tokens.workspace) {
            account.advance(now, vm_count);
            let max_received = account.max_received(vm_count).max(account.received);
            let to_received = tokens.amount.0 - account.store(tokens.amount.0, vm_count);
            account.received = account
                .received
                .saturating_add(to_received)
                .min(max_received);
            account.token_request_pending = false;
        }
    }

    /// Gives back the token of a request that was admitted at this VM, and then refused without having run. The token was
    /// taken before, so the tokens of all VMs together never exceed rate and burst. Tokens above the limit on received
    /// tokens are lost.
    pub fn refund(&mut self, now: Millis, workspace: &WorkspaceId) {
        let token = WorkspaceTokens {
            workspace: workspace.clone(),
            amount: Micros(ONE_TOKEN),
        };
        self.credit(now, &token);
        if let Some(account) = self.accounts.get_mut(workspace)
            && account.is_coordinator
        {
            account.spent = account.spent.saturating_sub(ONE_TOKEN);
        }
    }

    /// Sets the number of VMs between which quotas are divided, and updates for each workspace whether this VM is the
    /// coordinator. To be called when the known VMs or the workspaces have changed, so that tokens exist before the next
    /// exchange. If the number of VMs has grown, tokens beyond the smaller shares are dropped: a process that starts may
    /// at first know only some of the VMs.
    pub fn assign_coordinators<A>(
        &mut self,
        now: Millis,
        vm_count: usize,
        coordinator_of: impl Fn(&WorkspaceId) -> QuotaCoordinator<A>,
    ) {
        let vm_count = (vm_count as u64).max(1);
        let has_grown = self.vm_count > 0 && vm_count > self.vm_count;
        self.vm_count = vm_count;
        for (workspace, account) in &mut self.accounts {
            account.advance(now, vm_count);
            account.set_coordinator(&coordinator_of(workspace), vm_count);
            if has_grown {
                account.drop_excess(vm_count);
            }
        }
    }

    /// Whether the number of VMs is known, so that accounts get tokens.
    pub fn is_divided(&self) -> bool {
        self.vm_count > 0
    }

    /// Prepares the regular exchange with each coordinator, and returns the exchanges by the coordinators'
    /// addresses. An exchange holds the surplus tokens, which are deducted here, and the amounts of missing
    /// tokens. Also updates for each workspace whether this VM is the coordinator.
    pub fn prepare_exchanges<A: Ord>(
        &mut self,
        now: Millis,
        coordinator_of: impl Fn(&WorkspaceId) -> QuotaCoordinator<A>,
    ) -> BTreeMap<A, TokenExchange> {
        let mut exchanges: BTreeMap<A, TokenExchange> = BTreeMap::new();
        if self.vm_count == 0 {
            return exchanges;
        }
        let vm_count = self.vm_count();
        for (workspace, account) in &mut self.accounts {
            account.advance(now, vm_count);
            let coordinator = coordinator_of(workspace);
            account.set_coordinator(&coordinator, vm_count);
            let QuotaCoordinator::Remote(coordinator) = coordinator else {
                account.settle_received(vm_count);
                continue;
            };
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

    /// Returns the tokens that this VM, as a coordinator, wants from the coordinators of other failure
    /// domains, and resets the counts of spent and unmet tokens. To be called once per exchange interval.
    pub fn take_shortages(&mut self, now: Millis) -> Vec<WorkspaceTokens> {
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

    /// Decides what to do with a caller's request that got no token. If the result is
    /// [`NoTokenAction::RequestTokens`], the token request counts as sent.
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

    /// Returns the account of a workspace after refilling the tokens. A missing account is inserted.
    fn account(&mut self, now: Millis, spec: &WorkspaceSpec) -> &mut Account {
        let vm_count = self.vm_count();
        let account = self
            .accounts
            .entry(spec.id.clone())
            .or_insert_with(|| Account::new(now, spec.rate, spec.burst * ONE_TOKEN));
        account.advance(now, vm_count);
        account
    }
}
