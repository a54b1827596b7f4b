//! Tasks of the thread that holds the connections.

use std::future::Future;
use std::pin::Pin;

use async_channel::{Receiver, Sender};

pub(crate) type LocalTask = Pin<Box<dyn Future<Output = ()>>>;

/// Passes tasks to the executor. A task that held the executor itself would keep it, and so the
/// sockets of all tasks, alive after the thread has ended.
#[derive(Clone)]
pub(crate) struct Spawner(Sender<LocalTask>);

impl Spawner {
    pub(crate) fn new() -> (Self, Receiver<LocalTask>) {
        let (sender, receiver) = async_channel::unbounded();
        (Self(sender), receiver)
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        // Fails only while the thread ends.
        let _ = self.0.try_send(Box::pin(task));
    }
}
