//! Faults of the simulation.

use coordination::{FencingToken, LeaderState, LeaseClient};
use rand::Rng;

use super::event_queue::Event;
use super::simulation::{Clock, Simulation};
use super::{MEMBERS, SECOND};

/// Probability that a fault of a member is directed at the lease holder.
const HOLDER_FAULT_PROBABILITY: f64 = 0.6;
/// Maximum time without a leader, in microseconds.
const MAX_LEADER_CHANGE: u64 = 3 * SECOND;

impl Simulation {
    /// Injects a fault, and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let next = self.random.random_range(SECOND / 2..8 * SECOND);
        self.queue.schedule(next, Event::Fault);
        self.result.faults += 1;
        let holder = self.lease_holder();
        let any_member = self.random.random_range(0..MEMBERS);
        let targets_holder = self.random.random_bool(HOLDER_FAULT_PROBABILITY);
        let target = if targets_holder { holder.unwrap_or(any_member) } else { any_member };
        let duration = self.draw_fault_duration();
        let end = self.queue.now() + duration;
        match self.random.random_range(0..4) {
            0 => self.members[target].resumes_at = end,
            1 => self.members[target].disconnected_until = end,
            2 => self.restart_member(target, end),
            _ => self.change_leader(duration),
        }
    }

    fn lease_holder(&self) -> Option<usize> {
        let holder = self.state.leases().get(&self.lease)?.holder?;
        let session = self.state.sessions().get(&holder.session)?;
        session.name.strip_prefix('m')?.parse().ok()
    }

    fn draw_fault_duration(&mut self) -> u64 {
        match self.random.random_range(0..10) {
            0..=3 => self.random.random_range(SECOND / 10..2 * SECOND),
            4..=8 => self.random.random_range(SECOND..4 * SECOND),
            _ => self.random.random_range(4 * SECOND..30 * SECOND),
        }
    }

    /// Replaces a member's process by a new one, which starts to run at this time.
    fn restart_member(&mut self, member: usize, runs_from: u64) {
        let member = &mut self.members[member];
        member.process += 1;
        member.boot_id += MEMBERS as u64;
        member.lease_client = LeaseClient::new(self.timing).with_injected_bug(self.injected_bug);
        member.highest_token = FencingToken(0);
        member.resumes_at = runs_from;
    }

    /// Makes another coordinator leader after this duration, at most [`MAX_LEADER_CHANGE`]. It has a clock of its own.
    fn change_leader(&mut self, duration: u64) {
        self.leader_since = self.queue.now() + duration.min(MAX_LEADER_CHANGE);
        let rate = 1.0 + self.random.random_range(-self.skew..=self.skew);
        self.leader_clock = Clock { start: self.random.random_range(0..1 << 40), rate };
        self.leader_state =
            LeaderState::new(self.timing, self.leader_clock.at(self.leader_since), &self.state);
    }
}
