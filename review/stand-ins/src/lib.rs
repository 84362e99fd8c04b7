//! Stand-ins for clients, workers and discovery, and the start of one dispatcher with the command of the deploy file.
//! Everything listens on loopback addresses with free ports and uses the real clock. Standard library only.

pub mod case;
pub mod client;
pub mod discovery;
pub mod dispatcher;
pub mod http;
pub mod record;
pub mod settings;
pub mod worker;
