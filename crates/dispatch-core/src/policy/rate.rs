//! 2. **Rate.** A tenant's tokens come at its share of R. R rises while it limits and work is taken; it falls
//!    once per congestion episode. Tokens that overflow a full bank go to the other tenants by share.

use super::*;

/// R rises by this part in each window in which it limits, quickly until the first cut.
const RISE: f64 = 0.05;
const FIRST_RISE: f64 = 0.1;
/// A window is congested when more than this part of its pushes bounced.
const BOUNCED: f64 = 0.15;
/// R is cut by this multiple of what bounced, and by no more than this at once.
const CUT: f64 = 0.5;
const CUT_MOST: f64 = 0.3;
/// Where more than this part bounces, what was promised cannot be kept for now.
const HOPELESS: f64 = 0.75;

impl Dispatcher {
    /// What a usual job asks of a worker, in slots by seconds.
    pub fn mean_job_work(&self) -> f64 {
        self.slots * self.window()
    }

    /// A window of R: about a running time, in which the effect of a change shows.
    pub(super) fn window(&self) -> Seconds {
        let mean = self.runs.iter().map(|r| r.mean).sum::<f64>() / self.runs.len() as f64;
        mean.clamp(0.2, 2.0)
    }

    pub(super) fn end_window(&mut self) {
        self.accrue();
        self.keys.tidy(self.now);
        let (window, slots) = (self.window(), self.slots);
        // Our part of the traffic, at the least: the quietest tenant is taken to keep to its quota.
        let mut part = 1.0_f64;
        let asked = self.banks.iter().map(|b| b.asking).sum::<f64>() / window * slots;
        for (i, b) in self.banks.iter_mut().enumerate() {
            b.asked += LEARN_SERVED * (b.asking / window - b.asked);
            b.asking = 0.0;
            let quota = self.cfg.tenants.get(i).map_or(0.0, |t| t.quota);
            part = part.min(if quota > 0.0 { b.asked / quota } else { 1.0 });
        }
        let part = part.max(1.0 / f64::from(self.cfg.instances));
        let promise = self.cfg.total_quota() * part * slots;
        let r = &mut self.rate;
        r.served += LEARN_SERVED * (r.taken / window - r.served);
        let sent = r.taken + r.bounced;
        if r.several && r.bounced > BOUNCED * sent {
            // Never below what is served in time, nor below our part of the promise, unless most bounces.
            let bounced = r.bounced / sent;
            let drain = ((1.0 - bounced) / (1.0 - HOPELESS)).min(1.0);
            let floor = r.served.max(promise * drain).min(r.slots_per_s);
            r.slots_per_s = (r.slots_per_s * (1.0 - (CUT * bounced).min(CUT_MOST))).max(floor);
            r.cut = true;
        } else if r.limiting && r.taken > 0.0 {
            let rise = if r.cut { RISE } else { FIRST_RISE };
            let most = if r.cut { promise } else { FIRST_RATE * asked };
            r.slots_per_s *= 1.0 + rise.max((most / r.slots_per_s - 1.0).min(1.0));
        }
        r.slots_per_s = r.slots_per_s.max(0.5);
        (r.taken, r.bounced, r.first_bouncer, r.several, r.limiting) = (0.0, 0.0, None, false, false);
        self.size_banks();
        self.wake(self.window(), Wake::Window);
    }
}
