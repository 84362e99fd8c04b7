//! The decisions of a dispatcher, and nothing else: no clock, no I/O, no sockets, no tasks.
//!
//! [`Dispatcher`] is the decision module: it decides which worker gets a job, whether to retry and what is turned
//! away. It is told of [`Event`]s and answers with [`Action`]s; `api` holds both. Whoever drives it (the engine of
//! the real program, the simulator's adapter, the lab) brings the clock and carries the actions out.

pub mod api;
pub mod backoff;
mod cold;
mod estimate;
mod health;
mod load;
pub mod load_report;
pub mod policy;
pub mod poll_schedule;
mod room;
pub mod settings;
mod state;

pub use api::{Action, Event, Settings};
pub use policy::Dispatcher;
