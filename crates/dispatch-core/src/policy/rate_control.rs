//! 2. **Rate.** A tenant's tokens come at its share of R. R rises while it limits and work is taken; it falls
//!    once per congestion episode. Tokens that overflow a full bank go to the other tenants by share.

use super::{Dispatcher, INITIAL_RATE_MULTIPLE};
use crate::api::Seconds;
use crate::timers::TimerEvent;

/// Learning rate of what arrives and is served, by windows.
const TRAFFIC_LEARNING_RATE: f64 = 0.1;
/// R rises by this part in each window in which it limits, quickly until the first cut.
const RATE_RISE: f64 = 0.05;
const INITIAL_RATE_RISE: f64 = 0.1;
/// A window is congested when more than this part of its sends was rejected.
const CONGESTED_SHARE: f64 = 0.15;
/// R is cut by this multiple of the rejected part, and by no more than this at once.
const CUT_PER_REJECTED: f64 = 0.5;
const MAX_CUT: f64 = 0.3;
/// Where more than this part is rejected, what was promised cannot be kept for now.
const COLLAPSED_SHARE: f64 = 0.75;

impl Dispatcher {
    /// What a usual job asks of a worker, in slots by seconds.
    pub fn mean_job_work(&self) -> f64 {
        self.workload.mean_job_work()
    }

    pub(super) fn end_rate_window(&mut self) {
        self.accrue_tokens();
        self.key_rates.evict_old(self.now);
        let window = self.workload.rate_window();
        let mean_slots = self.workload.mean_slots;
        let arrivals = self.banks.iter().map(|bank| bank.window_arrivals).sum::<f64>();
        let arrived = arrivals / window * mean_slots;
        let promise = self.settings.total_quota() * self.traffic_share(window) * mean_slots;
        self.adjust_rate(window, arrived, promise);
        self.rate.start_window();
        self.resize_banks();
        self.schedule(self.workload.rate_window(), TimerEvent::RateWindowEnd);
    }

    /// Our part of the traffic, at the least: the quietest tenant is taken to keep to its quota.
    fn traffic_share(&mut self, window: Seconds) -> f64 {
        let mut share = 1.0_f64;
        for (tenant, bank) in self.banks.iter_mut().enumerate() {
            let quota = self.settings.tenants.get(tenant).map_or(0.0, |tenant| tenant.quota);
            share = share.min(bank.end_window(window, TRAFFIC_LEARNING_RATE, quota));
        }
        share.max(1.0 / f64::from(self.settings.instances))
    }

    /// Cuts or raises R by what this window brought; `arrived` and `promise` are in slots a second.
    fn adjust_rate(&mut self, window: Seconds, arrived: f64, promise: f64) {
        let rate = &mut self.rate;
        rate.served_rate += TRAFFIC_LEARNING_RATE * (rate.accepted / window - rate.served_rate);
        let sent = rate.accepted + rate.rejected;
        if rate.several_rejecters && rate.rejected > CONGESTED_SHARE * sent {
            // Never below what is served in time, nor below our part of the promise, unless most is rejected.
            let rejected = rate.rejected / sent;
            let promise_factor = ((1.0 - rejected) / (1.0 - COLLAPSED_SHARE)).min(1.0);
            let floor = rate.served_rate.max(promise * promise_factor).min(rate.slots_per_second);
            let cut = (CUT_PER_REJECTED * rejected).min(MAX_CUT);
            rate.slots_per_second = (rate.slots_per_second * (1.0 - cut)).max(floor);
            rate.was_cut = true;
        } else if rate.is_limiting && rate.accepted > 0.0 {
            let rise = if rate.was_cut { RATE_RISE } else { INITIAL_RATE_RISE };
            let target = if rate.was_cut { promise } else { INITIAL_RATE_MULTIPLE * arrived };
            rate.slots_per_second *= 1.0 + rise.max((target / rate.slots_per_second - 1.0).min(1.0));
        }
    }
}
