//! Requests at a rate.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;

use super::{Account, Call, Caller, Outcome};

/// Which requests to send and when.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The request.
    pub call: Call,
    /// Whether each request gets its own idempotency key, made from the call's key and a number.
    pub own_keys: bool,
    /// Requests to send.
    pub count: u64,
    /// Requests a second, sent whether or not earlier ones were answered. 0: one after another.
    pub rate: u32,
}

/// Sends the requests of a plan and waits for their outcomes, each of which `each` sees.
pub async fn run_plan(
    executor: &Arc<Executor<'static>>,
    caller: &Caller,
    plan: &Plan,
    each: impl Fn(&Outcome) + Send + Sync + 'static,
) -> Account {
    let account = Arc::new(Mutex::new(Account::default()));
    let each = Arc::new(each);
    let start = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..plan.count {
        if plan.rate > 0 {
            Timer::at(start + Duration::from_secs(i) / plan.rate).await;
        }
        let (caller, call) = (caller.clone(), numbered(plan, i));
        let (account, each) = (Arc::clone(&account), Arc::clone(&each));
        let one = async move {
            let outcome = caller.send(&call).await;
            each(&outcome);
            let mut account = account.lock().unwrap_or_else(PoisonError::into_inner);
            account.add(&outcome);
        };
        if plan.rate > 0 {
            tasks.push(executor.spawn(one));
        } else {
            one.await;
        }
    }
    for task in tasks {
        task.await;
    }
    let account = account.lock().unwrap_or_else(PoisonError::into_inner);
    account.clone()
}

fn numbered(plan: &Plan, i: u64) -> Call {
    let mut call = plan.call.clone();
    if plan.own_keys
        && let Some(key) = &mut call.idempotency_key
    {
        *key = format!("{key}-{i}");
    }
    call
}
