//! The decision logic of a dispatcher as a pure library: it has no clock, performs no I/O and starts no tasks.
//!
//! [`Dispatcher`] is the decision module: it decides which worker gets a job, whether to retry and which jobs to
//! reject. Its caller (the engine of the dispatcher process, the simulator adapter or the emulator) passes [`Event`]s
//! with the current time and carries out the [`Action`]s that are returned; `api` defines both.
//!
//! `policy` makes the decisions. The private modules hold the state and the estimates on which they are based.

pub mod api;
pub mod backoff;
pub mod hashing;
pub mod load_report;
pub mod policy;
pub mod poll_schedule;
pub mod settings;
pub mod settings_pairs;

mod admission_rate;
mod capacity_reservation;
mod endpoint_list;
mod fleet;
mod hedging;
mod job;
mod key_rates;
mod load;
mod outlier_detection;
mod queueing;
mod run_time;
mod slow_start;
mod timers;
mod token_bank;
mod worker;
mod workload;

pub use api::{Action, Event, Settings};
pub use policy::Dispatcher;
