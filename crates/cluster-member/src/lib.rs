//! Cluster membership of a dispatcher: messages between members and the coordinator, framed connections, the session, and
//! effects of lease holders with their fencing tokens; and the pure logic of the three tasks that leases are granted for:
//! the endpoint list, health checks and slow start.
//!
//! No client request waits for this package: a member that reaches no replica of the coordinator works as if it were
//! not part of a cluster.

pub mod clock;
pub mod coordinator_client;
pub mod discovery_fallback;
pub mod effects;
pub mod endpoint_list;
pub mod health_check;
pub mod member;
pub mod record;
pub mod settings;
pub mod slow_start;
pub mod wire;
