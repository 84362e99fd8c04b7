//! **Rate control.** The tokens of a tenant accrue at its share of the admission rate R. R rises while it
//! limits admission and workers accept the jobs; it is cut after a window with congestion. Tokens that
//! overflow a full bank go to the other tenants in proportion to their shares.

use super::{Dispatcher, INITIAL_RATE_MULTIPLE};
use crate::admission_rate::AdmissionRate;
use crate::api::Seconds;
use crate::timers::TimerEvent;

/// Learning rate per window of the arrival rates and of the rate that is served in time.
const TRAFFIC_LEARNING_RATE: f64 = 0.1;
/// Rise of R in a window in which R limits admission, as a fraction of R, after the first cut.
const RATE_RISE: f64 = 0.05;
/// Rise of R in a window in which R limits admission, as a fraction of R, before the first cut.
const INITIAL_RATE_RISE: f64 = 0.1;
/// Maximum rise of R in a window, as a fraction of R.
const MAX_RATE_RISE: f64 = 1.0;
/// Fraction of rejected sends above which a window is congested.
const CONGESTED_SHARE: f64 = 0.15;
/// Cut of R relative to the fraction of rejected sends.
const CUT_PER_REJECTED: f64 = 0.5;
/// Maximum cut of R in a window, as a fraction of R.
const MAX_CUT: f64 = 0.3;
/// Fraction of rejected sends above which the fleet cannot serve the quotas, so that R may fall below them.
const COLLAPSED_SHARE: f64 = 0.75;

/// The traffic of a window, in slots per second.
#[derive(Clone, Copy, Debug)]
struct WindowTraffic {
    /// First attempts of clients.
    arrivals: f64,
    /// This dispatcher's share of the quotas of all tenants.
    quota: f64,
}

impl Dispatcher {
    /// Adjusts the admission rate at the end of a window and begins the next one.
    pub(super) fn end_rate_window(&mut self) {
        self.accrue_tokens();
        self.key_rates.evict_old(self.now);
        let window = self.workload.rate_window();
        let mean_slots = self.workload.mean_slots;
        let arrivals = self.banks.iter().map(|bank| bank.window_arrivals).sum::<f64>();
        let traffic = WindowTraffic {
            arrivals: arrivals / window * mean_slots,
            quota: self.settings.total_quota() * self.traffic_share(window) * mean_slots,
        };
        self.adjust_rate(window, traffic);
        self.rate.start_window();
        self.resize_banks();
        self.schedule(self.workload.rate_window(), TimerEvent::RateWindowEnd);
    }

    /// Returns a lower bound of this dispatcher's share of the traffic, under the assumption that the tenant
    /// with the least traffic relative to its quota uses its whole quota.
    fn traffic_share(&mut self, window: Seconds) -> f64 {
        let mut share = 1.0_f64;
        for (tenant, bank) in self.banks.iter_mut().enumerate() {
            let quota = self.settings.tenants.get(tenant).map_or(0.0, |tenant| tenant.quota);
            share = share.min(bank.end_window(window, TRAFFIC_LEARNING_RATE, quota));
        }
        share.max(1.0 / f64::from(self.settings.instances))
    }

    /// Cuts R after a congested window, or raises R if it limited admission while workers accepted the jobs.
    fn adjust_rate(&mut self, window: Seconds, traffic: WindowTraffic) {
        let rate = &mut self.rate;
        rate.served_rate += TRAFFIC_LEARNING_RATE * (rate.accepted / window - rate.served_rate);
        let sent = rate.accepted + rate.rejected;
        if rate.rejected_by_several && rate.rejected > CONGESTED_SHARE * sent {
            cut_rate(rate, rate.rejected / sent, traffic.quota);
        } else if rate.is_limiting && rate.accepted > 0.0 {
            raise_rate(rate, traffic);
        }
    }
}

/// Cuts R in proportion to the fraction of rejected sends, but neither below the rate that is served in time
/// nor, unless most sends are rejected, below this dispatcher's share of the quotas.
fn cut_rate(rate: &mut AdmissionRate, rejected_share: f64, quota: f64) {
    let quota_factor = ((1.0 - rejected_share) / (1.0 - COLLAPSED_SHARE)).min(1.0);
    let lowest = rate.served_rate.max(quota * quota_factor).min(rate.slots_per_second);
    let cut = (CUT_PER_REJECTED * rejected_share).min(MAX_CUT);
    rate.slots_per_second = (rate.slots_per_second * (1.0 - cut)).max(lowest);
    rate.was_cut = true;
}

/// Raises R by a small fraction, or further toward its target. The target is a multiple of the arrivals
/// before the first cut of R, and this dispatcher's share of the quotas after it.
fn raise_rate(rate: &mut AdmissionRate, traffic: WindowTraffic) {
    let rise = if rate.was_cut { RATE_RISE } else { INITIAL_RATE_RISE };
    let target = if rate.was_cut { traffic.quota } else { INITIAL_RATE_MULTIPLE * traffic.arrivals };
    let rise_to_target = (target / rate.slots_per_second - 1.0).min(MAX_RATE_RISE);
    rate.slots_per_second *= 1.0 + rise.max(rise_to_target);
}
