//! Large jobs that starved: late although room for them was given to smaller ones that came later.

use super::{JobRun, RunRecord};
use crate::day::{micros, Day, Micros};

/// What ran, by the order of starts, by job and by worker.
pub(super) struct RunIndex<'a> {
    day: &'a Day,
    record: &'a RunRecord,
    by_worker: Vec<Vec<&'a JobRun>>,
    first_start: Vec<Micros>,
}

impl<'a> RunIndex<'a> {
    pub(super) fn of(day: &'a Day, record: &'a RunRecord) -> RunIndex<'a> {
        let mut by_worker = vec![Vec::new(); record.workers.len()];
        let mut first_start = vec![Micros::MAX; day.jobs.len()];
        for ran in &record.runs {
            by_worker[ran.worker as usize].push(ran);
            let first = &mut first_start[ran.job as usize];
            *first = ran.started_at.min(*first);
        }
        RunIndex { day, record, by_worker, first_start }
    }

    /// A large job starved if it was late although, while it waited and could still have been in time there, a warm
    /// worker that took jobs began a smaller job that was handed in after it, with room for the large one but for
    /// such smaller jobs.
    pub(super) fn starved(&self, n: usize, objective: Micros) -> bool {
        let job = &self.day.jobs[n];
        let by = job.arrival + objective;
        let began = self.first_start[n].min(by);
        let later_and_smaller = |ran: &JobRun| {
            let other = &self.day.jobs[ran.job as usize];
            other.arrival > job.arrival && other.slots < job.slots
        };
        // Records are in the order of their starts.
        let first = self.record.runs.partition_point(|ran| ran.started_at <= job.arrival);
        let starts = self.record.runs[first..].iter().take_while(|ran| ran.started_at < began);
        starts.filter(|ran| later_and_smaller(ran)).any(|start| {
            let (speed, slots, warm_from, until) = self.record.workers[start.worker as usize];
            let would_end = start.started_at + micros(job.work / speed.max(1e-6));
            if would_end > by || slots < job.slots || !(warm_from..until).contains(&start.started_at) {
                return false;
            }
            let there = &self.by_worker[start.worker as usize];
            let before = there.partition_point(|ran| ran.started_at <= start.started_at);
            let at_once = there[..before].iter().filter(|ran| start.started_at < ran.ended_at);
            let others = at_once.filter(|ran| !later_and_smaller(ran));
            others.map(|ran| self.day.jobs[ran.job as usize].slots).sum::<u32>() + job.slots <= slots
        })
    }
}
