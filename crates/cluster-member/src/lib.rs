//! Being a member of a fleet: the messages between members and keepers, framed connections, the session, and effects
//! of owners that reach receivers with their token.
//!
//! Nothing here is on the way of a request: a member that reaches no keeper goes on as if there were no fleet.

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
