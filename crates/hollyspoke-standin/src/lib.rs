//! Stand-ins for the services that the router depends on: the platform's store, model engines and
//! plain services. They keep ledgers of the calls they received, and inject faults on request.

pub mod answer;
pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
