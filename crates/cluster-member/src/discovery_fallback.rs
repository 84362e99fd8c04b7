//! Fallback to polling discovery when no more events arrive from the holder of the endpoint list lease.

use coordination::Micros;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Decides whether a member polls discovery or relies on the holder of the endpoint list lease.
#[derive(Debug, Clone)]
pub struct DiscoveryFallback {
    event_timeout: Micros,
    members_per_second: f64,
    /// Position of this member, from 0 to 1, in the order in which members return to polling.
    position: f64,
    last_event: Option<Micros>,
    member_count: u64,
}

impl DiscoveryFallback {
    /// Creates a fallback for a member that polls until the first event. `event_timeout` is the time without events, in
    /// microseconds, after which members return to polling. `members_per_second` is the number of members that do so
    /// per second. `position`, from 0 to 1, is the position of this member in their order.
    pub fn new(event_timeout: Micros, members_per_second: f64, position: f64) -> DiscoveryFallback {
        DiscoveryFallback {
            event_timeout,
            members_per_second,
            position: position.clamp(0.0, 1.0),
            last_event: None,
            member_count: 0,
        }
    }

    /// Creates a fallback with a position drawn from the seed.
    pub fn with_seed(event_timeout: Micros, members_per_second: f64, seed: u64) -> DiscoveryFallback {
        let position = fastrand::Rng::with_seed(seed).f64();
        DiscoveryFallback::new(event_timeout, members_per_second, position)
    }

    /// Records that an event of the lease holder was applied. `member_count` is the number of members that the event
    /// states.
    pub fn record_event(&mut self, now: Micros, member_count: u64) {
        self.last_event = Some(now);
        self.member_count = member_count;
    }

    /// Discards the recorded event, after the address of discovery or the requested names have changed in the settings.
    pub fn reset(&mut self) {
        self.last_event = None;
    }

    /// Returns the time at which this member starts to poll unless another event arrives; 0 before the first event.
    pub fn polls_from(&self) -> Micros {
        let Some(last_event) = self.last_event else { return 0 };
        let spread_seconds = self.member_count as f64 / self.members_per_second * self.position;
        last_event + self.event_timeout + (spread_seconds * MICROS_PER_SECOND) as Micros
    }

    /// Returns whether this member polls discovery. A lease holder always does.
    pub fn should_poll(&self, now: Micros, holds_lease: bool) -> bool {
        holds_lease || now >= self.polls_from()
    }
}
