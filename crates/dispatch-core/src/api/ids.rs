//! Ids and units.

/// A point in time or a span, in seconds.
pub type Seconds = f64;

/// A request, as numbered by the caller; never reused while the dispatcher lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A worker. The number must be the same at every dispatcher, such as a hash of its name: dispatchers that
/// share nothing still agree by this number alone on who may use a worker in slow start, and on where a key lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u64);
