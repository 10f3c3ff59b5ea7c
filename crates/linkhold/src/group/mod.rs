//! Database groups: each group's instances, its view, and the probes that keep
//! the view fresh.

mod directory;
mod handle;
mod instance;
mod probe;
mod view_actor;

pub use directory::{Directory, DirectorySnapshot};
pub use handle::GroupHandle;
pub use instance::{InstanceHandle, SlotPermit};
