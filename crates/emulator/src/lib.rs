//! An emulator of a fleet, and experiments on it.
//!
//! One model of workers, clients and the worker list ([`worker`], [`day`]) is driven in virtual time
//! ([`virtual_time`]) with the real decision module in each dispatcher, and in real time over sockets ([`sockets`])
//! against the real program. What is judged comes from the emulated parties' own
//! records, never from a dispatcher's word ([`checker`]).

pub mod checker;
pub mod cluster;
pub mod day;
pub mod metrics;
pub mod report;
pub mod router;
pub mod run;
pub mod sockets;
pub mod spec;
pub mod virtual_time;
pub mod worker;
