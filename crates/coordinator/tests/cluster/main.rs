//! Replicas in one process, with a simulated clock and network: agreement while some are lost, replaced or partitioned.

mod agreement;
mod harness;
mod replacement;
