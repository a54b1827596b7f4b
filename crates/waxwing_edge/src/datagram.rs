//! The order of the datagrams between VMs, which the network may deliver late, twice or out of order.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use waxwing_types::{Incarnation, Millis, common_derives};

use crate::PeerMessage;

/// Number of received datagrams of a sender by which repeated ones are recognized. A datagram older than these is not
/// handled.
const MAX_RECENT: usize = 16;
/// Time after which a silent process no longer voids one of an earlier incarnation at its address. The time of day of a VM, from
/// which incarnations follow, may have gone back.
const SILENCE_TIME: Millis = Millis(3500);
/// Greatest number of senders, and time after which a silent one is forgotten if there are more.
const MAX_SENDERS: usize = 1024;
const SENDER_TIME: Millis = Millis::from_secs(60);

common_derives! {
    /// A message with its place in the order in which a process sent its datagrams. Older versions state no place.
    #[derive(Serialize, Deserialize)]
    pub struct Datagram {
        /// Incarnation of the process that sent it.
        #[serde(default, rename = "from", skip_serializing_if = "Option::is_none")]
        pub process: Option<Incarnation>,
        /// Number of the datagram. Each is higher than all earlier ones of the process.
        #[serde(default, rename = "n", skip_serializing_if = "Option::is_none")]
        pub number: Option<u64>,
        /// The message.
        #[serde(flatten)]
        pub message: PeerMessage,
    }
}

/// What has arrived from the present process at an address.
struct Sender {
    process: Incarnation,
    /// Highest numbers that arrived, in ascending order.
    recent: VecDeque<u64>,
    last_heartbeat: u64,
    heard_at: Millis,
}

impl Sender {
    const fn new(process: Incarnation) -> Self {
        Self {
            process,
            recent: VecDeque::new(),
            last_heartbeat: 0,
            heard_at: Millis::ZERO,
        }
    }

    /// Records a number. Returns whether it is new.
    fn record(&mut self, number: u64) -> bool {
        let position = self.recent.partition_point(|n| *n < number);
        let is_full = self.recent.len() >= MAX_RECENT;
        if self.recent.get(position) == Some(&number) || is_full && position == 0 {
            return false;
        }
        self.recent.insert(position, number);
        if is_full {
            self.recent.pop_front();
        }
        true
    }
}

/// Recognizes datagrams that must not be handled, by their senders' addresses.
#[derive(Default)]
pub struct DatagramFilter {
    senders: HashMap<SocketAddr, Sender>,
}

impl DatagramFilter {
    /// Records a datagram, and returns whether it is to be handled. A repeated one would count tokens and observations twice,
    /// and a heartbeat that is older than another one, or one of an earlier process, states what no longer holds.
    pub fn accept(&mut self, now: Millis, from: SocketAddr, datagram: &Datagram) -> bool {
        let (Some(process), Some(number)) = (datagram.process, datagram.number) else {
            return true;
        };
        if self.senders.len() >= MAX_SENDERS {
            self.senders
                .retain(|_, sender| now.since(sender.heard_at) < SENDER_TIME);
        }
        let sender = self
            .senders
            .entry(from)
            .or_insert_with(|| Sender::new(process));
        if process < sender.process && now.since(sender.heard_at) < SILENCE_TIME {
            return false;
        }
        if process != sender.process {
            *sender = Sender::new(process);
        }
        sender.heard_at = now;
        if !sender.record(number) {
            return false;
        }
        if matches!(datagram.message, PeerMessage::Heartbeat { .. }) {
            let is_latest = number > sender.last_heartbeat;
            sender.last_heartbeat = sender.last_heartbeat.max(number);
            return is_latest;
        }
        true
    }
}
