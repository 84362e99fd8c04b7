//! Coordinator: one of three or five replicas that agree by Raft on the sessions, leases and permits of a fleet.
//!
//! - [`config`] reads the settings file.
//! - [`store`] persists the state that must survive a restart.
//! - [`replica`] drives Raft and the replicated state, without sockets and clock.
//! - [`server`] connects a replica to its peers, its clients and the clock.
//! - [`operator_client`] calls coordinators on behalf of an operator.
//! - [`error`] defines the errors that stop a coordinator, [`exit_code`] the exit codes of the program.

pub mod config;
mod display;
pub mod error;
pub mod exit_code;
pub mod operator_client;
pub mod replica;
pub mod server;
pub mod store;

pub use error::CoordinatorError;
