//! Timers for the many deadlines that are rarely reached.

use std::collections::BTreeMap;
use std::fmt;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;

type Sleepers = BTreeMap<(Instant, u64), Waker>;

struct Wheel {
    sleepers: Mutex<Sleepers>,
    last: AtomicU64,
}

impl Wheel {
    fn lock(&self) -> MutexGuard<'_, Sleepers> {
        self.sleepers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes those whose time has come, and returns the time of the next one.
    fn fire(&self) -> Option<Instant> {
        let (due, next) = {
            let mut sleepers = self.lock();
            let later = sleepers.split_off(&(Instant::now(), u64::MAX));
            let next = later.first_key_value().map(|((at, _), _)| *at);
            (std::mem::replace(&mut *sleepers, later), next)
        };
        due.into_values().for_each(Waker::wake);
        next
    }
}

/// Ticks after which a source looks for sleeps that were set meanwhile.
const IDLE_TICKS: u32 = 5;

/// A source of sleeps that end up to a few ticks late: one that was set long before ends up to one tick
/// late, a short one up to [`IDLE_TICKS`]. Clones share it.
///
/// A timer of `async_io` wakes the reactor with a system call when it is set, which costs more than
/// the rest of a short request. Setting a sleep here takes a lock.
#[derive(Clone)]
pub struct CoarseTimer {
    wheel: Arc<Wheel>,
}

impl fmt::Debug for CoarseTimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CoarseTimer").finish_non_exhaustive()
    }
}

impl CoarseTimer {
    /// Starts a source that looks for ended sleeps at most once in a `tick`, until all its clones and
    /// sleeps are dropped.
    pub fn start(executor: &Executor<'static>, tick: Duration) -> Self {
        let wheel = Arc::new(Wheel {
            sleepers: Mutex::default(),
            last: AtomicU64::new(0),
        });
        executor.spawn(turn(Arc::downgrade(&wheel), tick)).detach();
        Self { wheel }
    }

    /// A sleep until a moment.
    pub fn sleep_until(&self, at: Instant) -> CoarseSleep {
        CoarseSleep {
            wheel: Arc::clone(&self.wheel),
            at,
            id: self.wheel.last.fetch_add(1, Ordering::Relaxed),
            set: false,
        }
    }
}

async fn turn(wheel: Weak<Wheel>, tick: Duration) {
    loop {
        let Some(next) = wheel.upgrade().map(|wheel| wheel.fire()) else {
            return;
        };
        let now = Instant::now();
        let idle = now + tick * IDLE_TICKS;
        let next = next.unwrap_or(idle).clamp(now + tick, idle);
        Timer::at(next).await;
    }
}

/// A sleep of a [`CoarseTimer`].
pub struct CoarseSleep {
    wheel: Arc<Wheel>,
    at: Instant,
    id: u64,
    /// Whether a waker may be registered.
    set: bool,
}

impl Future for CoarseSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            return Poll::Ready(());
        }
        let key = (self.at, self.id);
        // Dropped after the lock, since the last waker of a task drops the task and its sleeps.
        let _former = self.wheel.lock().insert(key, cx.waker().clone());
        self.set = true;
        Poll::Pending
    }
}

impl Drop for CoarseSleep {
    fn drop(&mut self) {
        if self.set {
            let _waker = self.wheel.lock().remove(&(self.at, self.id));
        }
    }
}

impl hyper::rt::Sleep for CoarseSleep {}

impl hyper::rt::Timer for CoarseTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.until(deadline)
    }
}

impl CoarseTimer {
    fn until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(CoarseTimer::sleep_until(self, at))
    }
}
