//! Token banks with a job buffer, after Berger and Whitt, which limit the rate of each tenant.
//!
//! The tokens T and the slots J of buffered jobs are combined into one balance in slots, U = T - J + C_J, where C_J is
//! the capacity of the buffer and C_T that of the bank. The balance falls with each job that is accepted, rises with
//! each token, and stays between zero and C_J + C_T. A job of k slots is queued if U - C_J < k.

use std::collections::VecDeque;

use crate::api::{RequestId, Seconds, Settings};

/// Minimum fraction of a token to wait for.
const MIN_MISSING_TOKENS: f64 = 0.01;

/// A tenant's token bank and job buffer.
#[derive(Debug, Default)]
pub(crate) struct TokenBank {
    /// The tenant's share of the admission rate; all shares sum to one.
    pub share: f64,
    /// Balance U = T - J + C_J, in slots.
    pub balance: i64,
    /// Token capacity C_T, in slots.
    pub token_capacity: i64,
    /// Buffer capacity C_J, in slots.
    pub buffer_capacity: i64,
    /// Fraction of the next token that has accrued.
    pub partial_token: f64,
    /// Number of clients' first attempts in this window of the admission rate.
    pub window_arrivals: f64,
    /// Mean rate of clients' first attempts, in requests per second.
    pub arrival_rate: f64,
    /// Jobs in the buffer, in the order of arrival.
    pub queued: VecDeque<RequestId>,
    /// Slots of the jobs in the buffer.
    pub queued_slots: i64,
}

impl TokenBank {
    /// Returns a bank for each tenant, or a single bank if there are no tenants; shares are scaled to sum to one. The
    /// fraction of the first token is random, so that dispatchers do not release jobs in lockstep.
    pub(crate) fn for_tenants(settings: &Settings, rng: &mut fastrand::Rng) -> Vec<TokenBank> {
        scaled_shares(settings)
            .into_iter()
            .map(|share| TokenBank { share, partial_token: rng.f64(), ..TokenBank::default() })
            .collect()
    }

    /// Empties the queue, and returns the jobs that were in it.
    pub(crate) fn take_queued(&mut self) -> VecDeque<RequestId> {
        self.queued_slots = 0;
        std::mem::take(&mut self.queued)
    }

    /// Returns the number of tokens that the bank can hold beyond its balance.
    fn headroom(&self) -> i64 {
        self.token_capacity + self.buffer_capacity - self.balance
    }

    /// Sets the capacities C_T and C_J; queued jobs stay queued.
    pub(crate) fn resize(&mut self, token_capacity: i64, buffer_capacity: i64) {
        let balance = self.balance + buffer_capacity - self.buffer_capacity;
        self.balance = balance.clamp(0, token_capacity + buffer_capacity);
        self.token_capacity = token_capacity;
        self.buffer_capacity = buffer_capacity;
    }

    /// Withdraws a job's slots. Returns whether tokens cover the job; otherwise the job is queued.
    pub(crate) fn withdraw(&mut self, id: RequestId, slots: i64) -> bool {
        let is_paid = self.balance - self.buffer_capacity >= slots;
        self.balance -= slots;
        if !is_paid {
            self.queued.push_back(id);
            self.queued_slots += slots;
        }
        is_paid
    }

    /// Returns the number of tokens that the job at the head of the queue still waits for, or removes the job from the
    /// queue and returns `None`.
    pub(crate) fn release_head(&mut self, slots: i64) -> Option<f64> {
        let unpaid_slots = (self.buffer_capacity - self.balance).max(0);
        let missing = slots - (self.queued_slots - unpaid_slots);
        if missing > 0 {
            return Some((missing as f64 - self.partial_token).max(MIN_MISSING_TOKENS));
        }
        self.queued.pop_front();
        self.queued_slots -= slots;
        None
    }

    /// Removes a queued job that will not be sent, and returns its slots to the bank.
    pub(crate) fn remove_queued(&mut self, id: RequestId, slots: i64) {
        self.queued.retain(|&queued| queued != id);
        self.queued_slots -= slots;
        self.deposit(slots);
    }

    /// Returns the slots of an invalid request to the bank and does not count its arrival.
    pub(crate) fn refund(&mut self, slots: i64) {
        self.deposit(slots);
        self.window_arrivals = (self.window_arrivals - 1.0).max(0.0);
    }

    fn deposit(&mut self, slots: i64) {
        self.balance = (self.balance + slots).min(self.buffer_capacity + self.token_capacity);
    }

    /// Adds tokens. Returns the number of whole tokens that overflow.
    pub(crate) fn add_tokens(&mut self, tokens: f64) -> f64 {
        self.partial_token += tokens;
        let whole_tokens = self.partial_token.floor();
        self.partial_token -= whole_tokens;
        let added = (whole_tokens as i64).min(self.headroom());
        self.balance += added;
        whole_tokens - added as f64
    }

    /// Updates the arrival rate at the end of a window. Returns it as a fraction of the tenant's quota, or one if there
    /// is no quota.
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

/// Adds tokens to all banks in proportion to their shares. Tokens that overflow full banks, O_T in the paper, are
/// offered to the other banks, also in proportion to their shares.
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

/// Returns the share of each tenant's bank, or of the single bank if no tenant is served. Dropped tenants have none.
fn scaled_shares(settings: &Settings) -> Vec<f64> {
    let is_served = |index: usize| !settings.dropped.tenants.contains(&(index as u32));
    let given: Vec<f64> = settings
        .tenants
        .iter()
        .enumerate()
        .map(|(index, tenant)| if is_served(index) { tenant.share.max(0.0) } else { 0.0 })
        .collect();
    let served = (0..given.len()).filter(|index| is_served(*index)).count();
    if served == 0 {
        // The first bank is that of all jobs.
        return (0..given.len().max(1)).map(|index| if index == 0 { 1.0 } else { 0.0 }).collect();
    }
    let total: f64 = given.iter().sum();
    let equal = 1.0 / served as f64;
    if total > 0.0 {
        return given.into_iter().map(|share| share / total).collect();
    }
    (0..given.len()).map(|index| if is_served(index) { equal } else { 0.0 }).collect()
}

/// Applies new tenants: existing banks keep their balance and get the new shares.
pub(crate) fn update_shares(banks: &mut Vec<TokenBank>, settings: &Settings, rng: &mut fastrand::Rng) {
    for (index, new) in TokenBank::for_tenants(settings, rng).into_iter().enumerate() {
        match banks.get_mut(index) {
            Some(bank) => bank.share = new.share,
            None => banks.push(new),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/token_bank.rs"]
mod tests;
