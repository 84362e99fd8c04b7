//! Ids of requests and workers, and the unit of time.

/// A point in time or a duration, in seconds.
pub type Seconds = f64;

/// Id of a request, chosen by the caller. The caller must not reuse an id within one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Id of a worker. The number must be the same at every dispatcher, for example a hash of the worker's name: from it
/// alone, all dispatchers derive who may use a worker in slow start and which workers are the homes of an affinity key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u64);
