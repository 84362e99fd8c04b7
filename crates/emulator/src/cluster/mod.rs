//! Experiments with coordinators and dispatchers as processes and with faults between them, and models of the lease
//! protocol.
//!
//! [`schedule`] reads an experiment and draws schedules of faults by seed; [`lease_harness`] runs one with real
//! processes, all links between them through [`fault_proxy`]; [`record_checker`] checks the rules on the records that
//! the processes wrote, and on nothing else; [`results`] sums up. [`lightweight_member`] is a member without jobs, on
//! the real transport.
//!
//! [`cluster_harness`] starts a cluster of real dispatchers with emulated discovery. [`dispatch_latency`] measures
//! whether clients notice the cluster, [`shared_health_checks`] checks that dispatchers probe workers for each other
//! under faults, [`planned_drains`] that drains stay within their budgets, [`slow_start`] replaces most workers by
//! workers in slow start, and [`scaling_cost`] measures what a cluster saves and costs by its size.
//!
//! [`lease_model`] checks the lease protocol in every order of events, [`virtual_time_soak`] in virtual time.

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
