//! The engine: one task that owns the decision module, the table of open requests and the timers.
//!
//! It receives each [`Input`] from one queue, and sends each [`Command`] to the network layer and each
//! [`FinalResponse`] to the client's connection. It has no sockets, knows no protocol and makes no decisions. It
//! guarantees that an attempt ends exactly once, that a request is answered exactly once, and that neither outlives its
//! deadline.

mod actions;
mod clock;
mod event_loop;
mod handle;
mod inputs;
mod messages;
mod recent_ids;
mod request_table;
mod requests;
mod timers;

pub use clock::{micros, Clock, Micros};
pub use event_loop::Engine;
pub use handle::{Handle, PendingJob};
pub use messages::{
    AttemptEnd, AttemptId, AttemptStage, Command, FinalResponse, Input, InvalidRequest, Job, ListedEndpoint,
    Payload,
};
pub use recent_ids::{SentId, SharedIds};
