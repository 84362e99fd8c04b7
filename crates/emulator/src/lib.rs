//! Emulator of a fleet of workers, with experiments that compare dispatch policies on it.
//!
//! An experiment draws simulated days from seeds ([`day`]) and runs them in one of two execution modes, which share one
//! model of a worker ([`worker`]): in virtual time with the decision module of the dispatcher ([`virtual_time`]), or in
//! real time over sockets with dispatcher processes ([`sockets`]). The results are evaluated from the records of the
//! emulated workers, clients and discovery, never from what a dispatcher reports about itself ([`checker`]).

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
