//! Mode of a dispatcher, set by operators.

/// Mode of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// New work is accepted.
    Active,
    /// Clients are sent elsewhere: connections are closed once they are idle.
    Standby,
}
