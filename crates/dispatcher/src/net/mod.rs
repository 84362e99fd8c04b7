//! The network layer: all tasks that use sockets. They convert what they read into an [`Input`](crate::engine::Input)
//! and carry out each [`Command`](crate::engine::Command) and [`FinalResponse`](crate::engine::FinalResponse). All
//! decisions are made by the engine.

mod client;
mod cluster;
pub mod console;
pub mod discovery;
pub mod http;
pub mod id_journal;
pub mod json_framing;
mod memory;
pub mod metrics;
pub mod mode;
pub mod planned_drain;
mod read_buffer;
pub mod reload;
mod server;
pub mod shutdown;
pub mod socket_activation;
mod socket_io;
pub mod worker;

use std::rc::Rc;

use tokio::sync::watch;

use crate::config::Config;

pub use server::{serve, ServeParameters};
pub(crate) use socket_io::{
    has_unread_bytes, read_more, read_response_bytes, read_response_head, write_all, ResponseMemory,
};

/// Receiver of the current configuration. A change is visible to all receivers before any of their tasks runs again.
pub(crate) type ConfigReceiver = watch::Receiver<Rc<Config>>;
