//! Whether the operators invite work at this dispatcher.

/// Whether the operators have emptied the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Work is invited.
    Active,
    /// No new work is invited, and open connections are closed once they are idle.
    Standby,
}
