//! Several processes of the program, with faults between them, and models of what they agree on.
//!
//! [`schedule`] reads an experiment and draws schedules of faults by seed; [`lease_harness`] plays one with real processes, every
//! link between two of them through [`fault_proxy`]; [`record_checker`] reads the records that the processes left, and nothing
//! else; [`results`] adds up. [`lightweight_member`] is a member without jobs, on the real transport. [`cluster_harness`] is a
//! fleet of real dispatchers with one discovery, [`dispatch_latency`] asks whether their clients notice it, [`shared_health_checks`] has them
//! watch workers for each other while faults happen, [`slow_start`] replaces most workers by cold ones, [`scaling_cost`] measures
//! what a fleet saves and costs by its size. [`lease_model`] checks the protocol
//! in every order of events, [`virtual_time_soak`] in virtual time.

mod client;
pub mod cluster_harness;
pub mod console;
pub mod dispatch_latency;
mod dispatcher_settings;
pub mod emulated_discovery;
mod emulated_worker;
pub mod error;
pub mod fault_injection;
pub mod fault_proxy;
pub mod lease_harness;
pub mod lease_model;
pub mod lightweight_member;
pub mod planned_drains;
mod process_usage;
pub mod record_checker;
pub mod results;
pub mod scaling_cost;
pub mod schedule;
pub mod shared_health_checks;
pub mod slow_start;
pub mod violations;
pub mod virtual_time_soak;
pub mod worker_model;
