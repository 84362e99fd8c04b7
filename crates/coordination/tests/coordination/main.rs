//! Tests of the state machine, the leader's volatile state and the lease client, without processes or a network.

mod cluster;
mod hash;
mod leader_state;
mod lease_client;
mod lease_id;
mod state_machine;
mod timing;
