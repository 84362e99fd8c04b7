//! Several processes of the program, with faults between them, and models of what they agree on.

pub mod model;
