//! A database group as a node sees it: its view, its instances and the
//! probing that keeps the view fresh.

mod directory;
mod handle;
mod instance;
mod probe;
mod view_actor;

pub use directory::{Directory, DirectorySnapshot};
pub use handle::GroupHandle;
pub use instance::{InstanceHandle, SlotPermit};
