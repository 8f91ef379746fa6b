//! Code that the failure tests share: simulated fleets and engines, processes, and a small site
//! made of them.

pub mod box_process;
pub mod cluster;
pub mod crashes;
pub mod crowd;
pub mod faults;
pub mod fleet;
pub mod framing;
pub mod garbage;
pub mod gateway;
pub mod link;
pub mod migration;
pub mod overload;
pub mod permits;
pub mod platform;
pub mod process;
pub mod quota;
pub mod rate_limits;
pub mod recorded;
pub mod repeats;
pub mod request;
pub mod single_box;
pub mod source;
pub mod spoilt_heads;
pub mod stages;
pub mod statements;
