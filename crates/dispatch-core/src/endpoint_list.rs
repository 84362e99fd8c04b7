//! The state of the watch on the endpoint list, and how soon it is asked for again after a failure.

use crate::api::Seconds;

/// The list is asked for again after this at the least, and at the most where nothing is stated.
const MIN_RETRY_DELAY: Seconds = 0.2;
const MAX_RETRY_DELAY: Seconds = 2.0;

/// What is known of the watch on the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct EndpointListState {
    is_watching: bool,
    is_pending: bool,
    retry_delay: Seconds,
}

impl EndpointListState {
    /// The list was asked for.
    pub(crate) fn record_call(&mut self) {
        self.is_pending = true;
    }

    /// The list, or a change of it, came.
    pub(crate) fn record_answer(&mut self) {
        *self = EndpointListState { is_watching: true, is_pending: false, retry_delay: 0.0 };
    }

    /// A call failed or the watch broke. Returns the delay before the next call, without jitter; it doubles up to a part
    /// of the interval within which the list must be asked for, where one is stated.
    pub(crate) fn record_failure(&mut self, max_poll_interval: Seconds) -> Seconds {
        let longest = if max_poll_interval > 0.0 { max_poll_interval / 4.0 } else { MAX_RETRY_DELAY };
        let retry_delay = (self.retry_delay * 2.0).clamp(MIN_RETRY_DELAY.min(longest), longest);
        *self = EndpointListState { is_watching: false, is_pending: false, retry_delay };
        retry_delay
    }

    /// Whether a watch stands or is being set up.
    pub(crate) fn is_active(&self) -> bool {
        self.is_watching || self.is_pending
    }
}
