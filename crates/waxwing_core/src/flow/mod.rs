//! One request from arrival to response.
//!
//! The daemon creates a [`Flow`] for each request, delivers events to it with [`Flow::step`] and
//! carries out the actions in their order. It delivers events until [`Flow::is_finished`], also
//! after the caller was answered: the idempotency record may still have to be written.

mod arrival;
mod event;
mod refusal;
mod tables;

pub use arrival::{Arrival, FlowId, Forwarded, PresentedKey};
pub use event::{FlowAction, FlowEvent, StoreOutcome};
pub use refusal::Refusal;
pub use tables::{Admission, Tables};

use waxwing_types::Millis;

/// One request in one daemon.
#[derive(Debug)]
pub struct Flow {
    id: FlowId,
    arrival: Arrival,
    finished: bool,
}

impl Flow {
    /// A flow for a request. The first event is [`FlowEvent::Start`].
    pub fn new(id: FlowId, arrival: Arrival) -> Self {
        Self {
            id,
            arrival,
            finished: false,
        }
    }

    /// Handles one event.
    pub fn step(
        &mut self,
        _now: Millis,
        _event: FlowEvent,
        _tables: &mut Tables<'_>,
    ) -> Vec<FlowAction> {
        Vec::new()
    }
}

impl Flow {
    /// The number of the request.
    pub fn id(&self) -> FlowId {
        self.id
    }

    /// What the request brought with it.
    pub fn arrival(&self) -> &Arrival {
        &self.arrival
    }

    /// Whether the flow needs no further event.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}
