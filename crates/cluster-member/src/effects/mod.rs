//! Effects of lease holders: sent with their fencing token, after a look at the clock immediately before each; accepted or
//! rejected by the receiver, by the tokens that it knows.

mod publisher;
mod receiver;

pub use publisher::Publisher;
pub use receiver::serve_effects;
