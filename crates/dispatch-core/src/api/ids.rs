//! Ids and units.

/// A point in time or a span, in seconds.
pub type Seconds = f64;

/// Id of a request, as numbered by the caller; never reused by one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Id of a worker. The number must be the same at every dispatcher, such as a hash of the worker's name: by this number
/// alone dispatchers agree on who may use a worker in slow start, and on the homes of an affinity key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u64);
