//! 2. **Rate.** A tenant's tokens come at its share of R. R rises while it limits and work is taken; it falls
//!    once per congestion episode. Tokens that overflow a full bank go to the other tenants by share.

use super::*;

/// R rises by this part in each window in which it limits, quickly until the first cut.
const RATE_RISE: f64 = 0.05;
const INITIAL_RATE_RISE: f64 = 0.1;
/// A window is congested when more than this part of its pushes bounced.
const CONGESTED_SHARE: f64 = 0.15;
/// R is cut by this multiple of what bounced, and by no more than this at once.
const CUT_PER_REJECTED: f64 = 0.5;
const MAX_CUT: f64 = 0.3;
/// Where more than this part bounces, what was promised cannot be kept for now.
const COLLAPSED_SHARE: f64 = 0.75;

impl Dispatcher {
    /// What a usual job asks of a worker, in slots by seconds.
    pub fn mean_job_work(&self) -> f64 {
        self.mean_slots * self.rate_window()
    }

    /// A window of R: about a running time, in which the effect of a change shows.
    pub(super) fn rate_window(&self) -> Seconds {
        let mean = self.run_times.iter().map(|r| r.mean).sum::<f64>() / self.run_times.len() as f64;
        mean.clamp(0.2, 2.0)
    }

    pub(super) fn end_rate_window(&mut self) {
        self.accrue_tokens();
        self.key_rates.evict_old(self.now);
        let (window, slots) = (self.rate_window(), self.mean_slots);
        // Our part of the traffic, at the least: the quietest tenant is taken to keep to its quota.
        let mut part = 1.0_f64;
        let asked = self.banks.iter().map(|b| b.window_arrivals).sum::<f64>() / window * slots;
        for (i, b) in self.banks.iter_mut().enumerate() {
            b.arrival_rate += SERVED_LEARNING_RATE * (b.window_arrivals / window - b.arrival_rate);
            b.window_arrivals = 0.0;
            let quota = self.cfg.tenants.get(i).map_or(0.0, |t| t.quota);
            part = part.min(if quota > 0.0 { b.arrival_rate / quota } else { 1.0 });
        }
        let part = part.max(1.0 / f64::from(self.cfg.instances));
        let promise = self.cfg.total_quota() * part * slots;
        let r = &mut self.rate;
        r.served_rate += SERVED_LEARNING_RATE * (r.accepted / window - r.served_rate);
        let sent = r.accepted + r.rejected;
        if r.several_rejecters && r.rejected > CONGESTED_SHARE * sent {
            // Never below what is served in time, nor below our part of the promise, unless most bounces.
            let bounced = r.rejected / sent;
            let drain = ((1.0 - bounced) / (1.0 - COLLAPSED_SHARE)).min(1.0);
            let floor = r.served_rate.max(promise * drain).min(r.slots_per_second);
            r.slots_per_second =
                (r.slots_per_second * (1.0 - (CUT_PER_REJECTED * bounced).min(MAX_CUT))).max(floor);
            r.was_cut = true;
        } else if r.is_limiting && r.accepted > 0.0 {
            let rise = if r.was_cut { RATE_RISE } else { INITIAL_RATE_RISE };
            let most = if r.was_cut { promise } else { INITIAL_RATE_MULTIPLE * asked };
            r.slots_per_second *= 1.0 + rise.max((most / r.slots_per_second - 1.0).min(1.0));
        }
        r.slots_per_second = r.slots_per_second.max(0.5);
        (r.accepted, r.rejected, r.first_rejecter, r.several_rejecters, r.is_limiting) =
            (0.0, 0.0, None, false, false);
        self.resize_banks();
        self.schedule(self.rate_window(), TimerEvent::RateWindowEnd);
    }
}
