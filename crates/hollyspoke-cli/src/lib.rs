//! The operators' command-line tool: check, apply, show, status, addresses, call.

pub mod apply;
pub mod call;
pub mod caller;
pub mod command;
pub mod exit;
pub mod show;
