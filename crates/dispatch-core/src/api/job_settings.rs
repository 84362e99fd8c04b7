//! The settings of a job, fixed when the job is accepted.

use super::ids::Seconds;
use super::settings::{Class, Idempotency, KeyScope, Settings};

/// Fraction of the key window within which a job is retried; the rest is a margin, because the clocks of worker and
/// dispatcher may differ.
const USABLE_KEY_WINDOW: f64 = 0.9;

/// The settings that bind one job from its acceptance to its final response.
///
/// [`Settings::for_job`] creates them at the acceptance, and nothing changes them afterwards: a reload binds only the
/// jobs that are accepted after it. Whether, where and how often a job may be sent is answered here alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobSettings {
    class: Class,
    max_attempts: u32,
    hedging_allowed: bool,
}

impl Settings {
    /// Returns the settings of a job that is accepted now. A class number beyond the list is treated as the last class.
    pub fn for_job(&self, class: u32) -> JobSettings {
        let class = self.classes.get(class as usize).or(self.classes.last());
        JobSettings {
            class: class.copied().unwrap_or_default(),
            max_attempts: self.max_attempts,
            hedging_allowed: self.hedging_allowed,
        }
    }
}

impl JobSettings {
    /// Returns the maximum number of attempts, which is at least one.
    pub fn max_attempts(&self) -> usize {
        self.max_attempts.max(1) as usize
    }

    /// Whether the job may be sent again after an attempt that may have run it, if time and worker allow it.
    pub fn allows_repeats(&self) -> bool {
        self.class.idempotency != Idempotency::NotIdempotent
    }

    /// Whether a second attempt may be sent while the first is still open.
    pub fn allows_hedging(&self) -> bool {
        self.hedging_allowed && self.allows_repeats()
    }

    /// Returns the idempotency of the job.
    pub fn idempotency(&self) -> Idempotency {
        self.class.idempotency
    }

    /// Returns the time for which the job may be sent again after an attempt that may have run.
    pub fn retry_window(&self) -> Seconds {
        match self.class.idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::WithKey(_) => self.class.key_window * USABLE_KEY_WINDOW,
            Idempotency::NotIdempotent => 0.0,
        }
    }

    /// Whether the job may run any number of times, at any worker and at any time.
    pub fn may_always_repeat(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }

    /// Returns the time after an attempt that may have run for which [`JobSettings::allows_client_retry`] holds.
    pub fn client_retry_window(&self) -> Seconds {
        if self.allows_client_retry(0.0) {
            self.retry_window()
        } else {
            0.0
        }
    }

    /// Whether the client may retry the job when this time has passed since an attempt that may have run. The client's
    /// retry may reach any worker.
    pub fn allows_client_retry(&self, after: Seconds) -> bool {
        let any_worker =
            matches!(self.class.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All));
        any_worker && after < self.retry_window()
    }

    /// Returns the time after the arrival within which a response is in time, not counting the allowance for the
    /// running time.
    pub fn latency_objective(&self) -> Seconds {
        self.class.latency_objective
    }

    /// Returns the time added to the latency objective, as a multiple of the job's own running time.
    pub fn run_time_allowance(&self) -> f64 {
        self.class.run_time_allowance
    }

    /// Returns the fraction of its priority weight with which a late response still counts.
    pub fn late_weight(&self) -> f64 {
        self.class.late_weight
    }

    /// Returns the only kind of machine that can run the job; `None` if every kind can.
    pub fn required_kind(&self) -> Option<u32> {
        self.class.required_kind
    }
}
