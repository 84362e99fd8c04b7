//! The state of the watch on the endpoint list, and the delay of a retry after a failure.

use crate::api::Seconds;

/// Minimum delay of a retry.
const MIN_RETRY_DELAY: Seconds = 0.2;
/// Maximum delay of a retry if the settings state no poll interval.
const MAX_RETRY_DELAY: Seconds = 2.0;
/// Number of retries within the maximum poll interval, which determines the maximum delay of a retry.
const RETRIES_PER_POLL_INTERVAL: f64 = 4.0;

/// State of the watch on the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct EndpointListState {
    is_watching: bool,
    /// Whether a watch was requested and discovery has not responded yet.
    is_pending: bool,
    /// Delay of the last retry without jitter; 0 after a success.
    retry_delay: Seconds,
}

impl EndpointListState {
    /// Records that a watch was requested.
    pub(crate) fn record_watch_request(&mut self) {
        self.is_pending = true;
    }

    /// Records that the list, or a change of it, arrived.
    pub(crate) fn record_update(&mut self) {
        *self = EndpointListState { is_watching: true, is_pending: false, retry_delay: 0.0 };
    }

    /// Records that a call failed or the watch ended. Returns the delay before the next call, without jitter. The delay
    /// doubles with each failure, up to [`MAX_RETRY_DELAY`] or a fraction of the maximum poll interval, if there is
    /// one.
    pub(crate) fn record_failure(&mut self, max_poll_interval: Seconds) -> Seconds {
        let longest = if max_poll_interval > 0.0 {
            max_poll_interval / RETRIES_PER_POLL_INTERVAL
        } else {
            MAX_RETRY_DELAY
        };
        let retry_delay = (self.retry_delay * 2.0).clamp(MIN_RETRY_DELAY.min(longest), longest);
        *self = EndpointListState { is_watching: false, is_pending: false, retry_delay };
        retry_delay
    }

    /// Whether a watch is open or requested.
    pub(crate) fn is_active(&self) -> bool {
        self.is_watching || self.is_pending
    }
}
