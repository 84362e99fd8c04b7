#![doc = include_str!("../../../README.md")]

pub mod config;
mod config_error;
mod endpoint_list;
pub mod engine;
pub mod log;
mod names;
pub mod net;
pub mod settings_file;

pub use dispatch_core::{api, Action, Dispatcher, Event, Settings};
