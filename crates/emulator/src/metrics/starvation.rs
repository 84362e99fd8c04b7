//! Large jobs that starved: they were late because smaller jobs that arrived later took the slots they needed.

use super::{JobRun, RunRecord};
use crate::day::{micros, Day, Micros};

/// Index of the runs of jobs by worker and by job.
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

    /// Returns whether a large job that was late starved. It starved if, while it waited, a worker started a smaller
    /// job that arrived after it, and all of these hold: the worker was warm and accepted jobs, the large job would
    /// have ended there in time, and it would have had enough slots without such smaller jobs.
    pub(super) fn starved(&self, n: usize, objective: Micros) -> bool {
        let job = &self.day.jobs[n];
        let due_at = job.arrival + objective;
        let waited_until = self.first_start[n].min(due_at);
        let later_and_smaller = |ran: &JobRun| {
            let other = &self.day.jobs[ran.job as usize];
            other.arrival > job.arrival && other.slots < job.slots
        };
        // The record holds runs in the order of their starts.
        let first = self.record.runs.partition_point(|ran| ran.started_at <= job.arrival);
        let starts = self.record.runs[first..].iter().take_while(|ran| ran.started_at < waited_until);
        starts.filter(|ran| later_and_smaller(ran)).any(|start| {
            let (speed, slots, warm_from, until) = self.record.workers[start.worker as usize];
            let would_end = start.started_at + micros(job.work / speed.max(1e-6));
            if would_end > due_at || slots < job.slots || !(warm_from..until).contains(&start.started_at) {
                return false;
            }
            let on_worker = &self.by_worker[start.worker as usize];
            let before = on_worker.partition_point(|ran| ran.started_at <= start.started_at);
            let running = on_worker[..before].iter().filter(|ran| start.started_at < ran.ended_at);
            let others = running.filter(|ran| !later_and_smaller(ran));
            others.map(|ran| self.day.jobs[ran.job as usize].slots).sum::<u32>() + job.slots <= slots
        })
    }
}
