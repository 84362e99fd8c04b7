//! Token banks with a job buffer, after Berger and Whitt: the state that throttles a tenant.
//!
//! Tokens and buffer are folded into one balance in slots, U = T - J + C_J, which falls by each job that is taken and
//! rises by tokens, between 0 and the two capacities together. Jobs are queued while U - C_J does not cover them.

use std::collections::VecDeque;

use crate::api::{RequestId, Seconds, Tenant};

/// The least part of a token to wait for.
const MIN_MISSING_TOKENS: f64 = 0.01;

/// A tenant's token bank and job buffer.
#[derive(Debug, Default)]
pub(crate) struct TokenBank {
    /// The tenant's part of the admission rate; the parts sum to one.
    pub share: f64,
    /// U = T - J + C_J, in slots.
    pub balance: i64,
    /// C_T.
    pub token_capacity: i64,
    /// C_J.
    pub buffer_capacity: i64,
    /// The part of the next token that has come.
    pub partial_token: f64,
    /// First attempts of clients in this window, and a second on average.
    pub window_arrivals: f64,
    pub arrival_rate: f64,
    /// The jobs of the buffer, first come first, and their slots.
    pub queued: VecDeque<RequestId>,
    pub queued_slots: i64,
}

impl TokenBank {
    /// One for each tenant, or one in all; shares are scaled to sum to one. The phase of the tokens comes from
    /// the seed, so that dispatchers do not release in step.
    pub(crate) fn for_tenants(tenants: &[Tenant], rng: &mut fastrand::Rng) -> Vec<TokenBank> {
        let total: f64 = tenants.iter().map(|tenant| tenant.share.max(0.0)).sum();
        let count = tenants.len().max(1);
        let equal = 1.0 / count as f64;
        let share = |index: usize| {
            let tenant = tenants.get(index).filter(|_| total > 0.0);
            tenant.map_or(equal, |tenant| tenant.share.max(0.0) / total)
        };
        (0..count)
            .map(|index| TokenBank { share: share(index), partial_token: rng.f64(), ..TokenBank::default() })
            .collect()
    }

    fn headroom(&self) -> i64 {
        self.token_capacity + self.buffer_capacity - self.balance
    }

    /// Sets C_T and C_J; queued jobs stay queued.
    pub(crate) fn resize(&mut self, token_capacity: i64, buffer_capacity: i64) {
        let balance = self.balance + buffer_capacity - self.buffer_capacity;
        self.balance = balance.clamp(0, token_capacity + buffer_capacity);
        self.token_capacity = token_capacity;
        self.buffer_capacity = buffer_capacity;
    }

    /// Takes a job's slots. The job is queued, false, where tokens have not come for it yet.
    pub(crate) fn withdraw(&mut self, id: RequestId, slots: i64) -> bool {
        let is_paid = self.balance - self.buffer_capacity >= slots;
        self.balance -= slots;
        if !is_paid {
            self.queued.push_back(id);
            self.queued_slots += slots;
        }
        is_paid
    }

    /// The tokens that the job at the head still waits for; it leaves the queue where there are none.
    pub(crate) fn release_head(&mut self, slots: i64) -> Option<f64> {
        let owed = (self.buffer_capacity - self.balance).max(0);
        let missing = slots - (self.queued_slots - owed);
        if missing > 0 {
            return Some((missing as f64 - self.partial_token).max(MIN_MISSING_TOKENS));
        }
        self.queued.pop_front();
        self.queued_slots -= slots;
        None
    }

    /// A queued job leaves without having been sent.
    pub(crate) fn remove_queued(&mut self, id: RequestId, slots: i64) {
        self.queued.retain(|&queued| queued != id);
        self.queued_slots -= slots;
        self.deposit(slots);
    }

    /// Takes back the slots of a request that was none.
    pub(crate) fn refund(&mut self, slots: i64) {
        self.deposit(slots);
        self.window_arrivals = (self.window_arrivals - 1.0).max(0.0);
    }

    fn deposit(&mut self, slots: i64) {
        self.balance = (self.balance + slots).min(self.buffer_capacity + self.token_capacity);
    }

    /// Adds tokens; returns those that overflow.
    pub(crate) fn add_tokens(&mut self, tokens: f64) -> f64 {
        self.partial_token += tokens;
        let whole = self.partial_token.floor();
        self.partial_token -= whole;
        let added = (whole as i64).min(self.headroom());
        self.balance += added;
        whole - added as f64
    }

    /// A window of the rate ends: the arrivals a second follow what came in it by this learning rate. Returns what part
    /// they are of the tenant's quota, where it has one.
    pub(crate) fn end_window(&mut self, window: Seconds, learning_rate: f64, quota: f64) -> f64 {
        self.arrival_rate += learning_rate * (self.window_arrivals / window - self.arrival_rate);
        self.window_arrivals = 0.0;
        if quota > 0.0 {
            self.arrival_rate / quota
        } else {
            1.0
        }
    }
}

/// Adds tokens to all banks by share. What overflows full banks, the paper's O_T, is offered to the others by share.
pub(crate) fn accrue(banks: &mut [TokenBank], tokens: f64) {
    let mut overflow = 0.0;
    for bank in banks.iter_mut() {
        overflow += bank.add_tokens(tokens * bank.share);
    }
    let open_share: f64 = banks.iter().filter(|bank| bank.headroom() > 0).map(|bank| bank.share).sum();
    if overflow > 0.0 && open_share > 0.0 {
        for bank in banks.iter_mut().filter(|bank| bank.headroom() > 0) {
            bank.add_tokens(overflow * bank.share / open_share);
        }
    }
}

/// Other tenants: banks that exist keep their balance and take the new shares.
pub(crate) fn update_shares(banks: &mut Vec<TokenBank>, tenants: &[Tenant], rng: &mut fastrand::Rng) {
    for (index, new) in TokenBank::for_tenants(tenants, rng).into_iter().enumerate() {
        match banks.get_mut(index) {
            Some(bank) => bank.share = new.share,
            None => banks.push(new),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/token_bank.rs"]
mod tests;
