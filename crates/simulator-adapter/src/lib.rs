//! The decisions of a dispatcher on the text wire of a simulator: batches of events in, one reply of actions out.
//!
//! [`Host`] reads lines and holds one [`Dispatcher`](dispatch_core::Dispatcher) for each instance that the wire names.
//! It takes no decision. `fields` reads the values of a line, `events` the events, `reply` writes the actions.

mod events;
mod fields;
mod host;
mod lists;
mod reply;

pub use dispatch_core::hashing::worker_id;
pub use host::{Host, HostError, Malformed};
