//! The interface of the decision module: settings, events, actions and the ids in them.
//!
//! Times are seconds on the caller's clock, which may have any origin and must not move backward. Ids are opaque: the
//! module only compares and hashes them.

mod action;
mod event;
mod ids;
mod job_settings;
mod settings;

pub use crate::load_report::LoadReport;
pub use action::Action;
pub use event::{Endpoint, Event, ListScope, Outcome, Request, WorkerState};
pub use ids::{RequestId, Seconds, WorkerId};
pub use job_settings::JobSettings;
pub use settings::{
    CapacityReservation, Class, DroppedPositions, Idempotency, KeyScope, LoadReports, Settings, Tenant,
};
