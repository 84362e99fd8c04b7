//! Stand-ins for what a dispatcher talks with. Each is a state machine without clock or I/O, driven by virtual time
//! and by sockets alike, and written from the platform's protocol.

pub mod worker;
