#![doc = include_str!("../../../README.md")]

pub mod config;
pub mod engine;
pub mod log;
pub mod net;
pub mod settings_file;

pub use dispatch_core::{api, Action, Dispatcher, Event, Settings};
