//! A coordinator: one of three or five processes that agree by Raft on the sessions, leases and permits of a fleet.
//!
//! - [`config`] reads the settings file.
//! - [`store`] keeps what has to outlive the process.
//! - [`replica`] drives Raft and the replicated state, without sockets and without a clock.
//! - [`server`] connects a replica with its peers, its clients and the clock.
//! - [`operator_client`] asks coordinators on behalf of an operator.
//! - [`error`] says why a coordinator stops, and the exit code for it.

pub mod config;
mod display;
pub mod error;
pub mod operator_client;
pub mod replica;
pub mod server;
pub mod store;

pub use error::CoordinatorError;
