//! When a member polls discovery itself, because the lease holder that does so for all is silent.

use coordination::Micros;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Whether a member polls discovery itself or relies on the holder of the endpoint list lease.
#[derive(Debug, Clone)]
pub struct DiscoveryFallback {
    silence_timeout: Micros,
    members_per_second: f64,
    /// From 0 to 1, drawn once: this member's position in the order in which members go back to polling.
    position: f64,
    last_event: Option<Micros>,
    member_count: u64,
}

impl DiscoveryFallback {
    /// Relies on nobody yet. `silence_timeout` is how long a lease holder may send nothing, in microseconds;
    /// `members_per_second` how many of all members may go back to polling each second; `position` is from 0 to 1.
    pub fn new(silence_timeout: Micros, members_per_second: f64, position: f64) -> DiscoveryFallback {
        DiscoveryFallback {
            silence_timeout,
            members_per_second,
            position: position.clamp(0.0, 1.0),
            last_event: None,
            member_count: 0,
        }
    }

    /// The same, with the position drawn by a seed.
    pub fn with_seed(silence_timeout: Micros, members_per_second: f64, seed: u64) -> DiscoveryFallback {
        let position = fastrand::Rng::with_seed(seed).f64();
        DiscoveryFallback::new(silence_timeout, members_per_second, position)
    }

    /// An event of a lease holder was taken in.
    pub fn record_event(&mut self, now: Micros, member_count: u64) {
        self.last_event = Some(now);
        self.member_count = member_count;
    }

    /// Earlier events say nothing any more: discovery has another address, or is read by other names.
    pub fn reset(&mut self) {
        self.last_event = None;
    }

    /// When this member polls again, if no event comes until then; it polls now where that is past.
    pub fn polls_from(&self) -> Micros {
        let Some(last_event) = self.last_event else { return 0 };
        let spread_seconds = self.member_count as f64 / self.members_per_second * self.position;
        last_event + self.silence_timeout + (spread_seconds * MICROS_PER_SECOND) as Micros
    }

    /// Whether it polls discovery itself. A lease holder always does.
    pub fn should_poll(&self, now: Micros, holds_lease: bool) -> bool {
        holds_lease || now >= self.polls_from()
    }
}
