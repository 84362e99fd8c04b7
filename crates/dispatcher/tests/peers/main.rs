//! What peers can do to a dispatcher process: hold its memory, flood it, and leave.

mod floods;
mod memory;
mod rig;
