//! A model of a discovery service that answers one call at a time.

use dispatch_core::backoff::Micros;

/// Maximum wait of a call; a call that would wait longer is rejected.
const MAX_WAIT: Micros = 2_000_000;
/// Maximum time from the arrival of a call until the service is idle again.
const MAX_BACKLOG: Micros = 2_500_000;

/// A caller that retries until its call is answered.
pub struct Caller<C> {
    pub next_call: Micros,
    /// State of the caller, from which the delay before its next call is computed.
    pub client: C,
}

/// Returns how many callers are answered within the time `within` by a service that takes the time `call` per call,
/// even for calls that it rejects.
pub fn answered_callers<C>(
    mut callers: Vec<Caller<C>>,
    call: Micros,
    within: Micros,
    delay: impl Fn(&mut C) -> Micros,
) -> usize {
    let count = callers.len();
    let mut free_at = 0;
    loop {
        let next = (0..callers.len()).min_by_key(|position| callers[*position].next_call);
        let Some(next) = next.filter(|position| callers[*position].next_call < within) else { break };
        let now = callers[next].next_call;
        let wait = free_at.max(now) - now;
        free_at = now + (wait + call).min(MAX_BACKLOG);
        if wait < MAX_WAIT {
            callers.swap_remove(next);
        } else {
            callers[next].next_call = now + 1 + delay(&mut callers[next].client);
        }
    }
    count - callers.len()
}
