//! A member of the cluster: the messages between members and the coordinator, framed connections, the session, and effects
//! of lease holders that reach receivers with their fencing token; and what three kinds of lease are for, as pure logic:
//! the endpoint list, health checks and slow start.
//!
//! Nothing here is on the way of a request: a member that reaches no replica of the coordinator goes on as if there were
//! no cluster.

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
