//! Adapter of the decision module to the text protocol of a simulator: batches of events in, one reply of actions out.
//!
//! [`Host`] reads lines and owns one [`Dispatcher`](dispatch_core::Dispatcher) for each instance that the simulator
//! starts. The adapter makes no decisions. `wire` maps the names of the protocol, `fields` parses the values of a line,
//! `events` the events and `lists` the endpoint lists; `reply` writes the actions.

mod events;
mod fields;
mod host;
mod lists;
mod reply;
mod wire;

pub use dispatch_core::hashing::worker_id;
pub use host::{Host, HostError, Malformed};
