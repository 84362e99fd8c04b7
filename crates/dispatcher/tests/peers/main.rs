//! What peers can do to a dispatcher process: hold its memory, flood it, and leave.

mod departures;
mod floods;
mod memory;
mod rig;
