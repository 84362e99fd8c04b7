//! Effects of lease holders. The sender checks its lease by the clock immediately before each effect; the receiver accepts
//! or rejects it by its fencing token.

mod publisher;
mod receiver;

pub use publisher::Publisher;
pub use receiver::serve_effects;
