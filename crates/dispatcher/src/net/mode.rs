//! Mode of a dispatcher, which operators set at the console.

/// Mode of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// New work is accepted.
    Active,
    /// The dispatcher reports that it is not ready and closes client connections once they are idle, so that clients
    /// move to other dispatchers.
    Standby,
}
