//! Several processes of the program, with faults between them, and models of what they agree on.
//!
//! [`plan`] reads an experiment and draws schedules of faults by seed; [`rig`] plays one with real processes, every
//! link between two of them through [`proxy`]; [`checker`] reads the records that the processes left, and nothing
//! else; [`results`] adds up. [`light`] is a member without jobs, on the real transport. [`together`] is a
//! fleet of real dispatchers with one discovery, [`waits`] asks whether their clients notice it, [`watching`] has them
//! watch workers for each other while faults happen, [`joining`] replaces most workers by cold ones, [`worth`] measures
//! what a fleet saves and costs by its size. [`model`] checks the protocol
//! in every order of events, [`hours`] in virtual time.

pub mod bearing;
pub mod checker;
pub mod drains;
pub mod hours;
pub mod joining;
pub mod light;
pub mod model;
pub mod plan;
pub mod proxy;
pub mod results;
pub mod rig;
pub mod standin_discovery;
pub mod together;
pub mod waits;
pub mod watching;
pub mod worth;
