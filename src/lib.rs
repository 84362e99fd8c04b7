#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod config;
pub mod engine;
pub mod log;
pub mod net;
pub mod policy;
mod settings;
mod state;
pub mod wire;

pub use api::{Action, Event, Settings};
pub use policy::Dispatcher;
