//! Effects of lease holders. The sender checks its lease against the clock immediately before it sends an effect; the
//! receiver accepts or rejects the effect by its fencing token.

mod publisher;
mod receiver;

pub use publisher::Publisher;
pub use receiver::serve_effects;
