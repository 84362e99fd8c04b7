//! A model of a service that answers one call at a time, as it was measured.

use dispatch_core::backoff::Micros;

/// Longest wait for an answer; a call that would wait longer is rejected.
const MAX_WAIT: Micros = 2_000_000;
/// Longest time from the arrival of a call until the service is free again.
const MAX_BACKLOG: Micros = 2_500_000;

/// A caller that retries until it is answered.
pub struct Caller<C> {
    pub next_call: Micros,
    /// State from which the delay before the next call is computed.
    pub client: C,
}

/// Returns how many callers are answered `within` a time by a service that takes the time `call` for each, even if it
/// is rejected.
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
