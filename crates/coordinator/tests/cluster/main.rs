//! Coordinators as values: what they agree on while some of them are lost, replaced or cut off.

mod agreement;
mod harness;
mod replacement;
