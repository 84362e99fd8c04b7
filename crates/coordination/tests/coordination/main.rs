//! The state machine, the leader's state and a member's side, each by itself.

mod cluster;
mod hash;
mod leader_state;
mod lease_client;
mod lease_id;
mod state_machine;
mod timing;
