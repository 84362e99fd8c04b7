//! The engine: one task that owns the decision module, the table of open requests and the timers.
//!
//! Everything reaches it as an [`Input`] on one queue and leaves as a [`Command`] or an [`Answer`]; nothing here knows
//! of sockets or of a protocol. It takes no decision. What it adds to the module is bookkeeping: an attempt ends
//! exactly once, a request is answered exactly once, and nothing outlives its deadline.

mod clock;
mod event_loop;
mod handle;
mod messages;
mod request_table;
mod requests;
mod timers;

pub use clock::{micros, Clock, Micros};
pub use event_loop::Engine;
pub use handle::{Handle, PendingJob};
pub use messages::{
    Answer, AttemptEnd, AttemptId, AttemptStage, Command, Input, InvalidRequest, Job, ListedEndpoint, Payload,
};
