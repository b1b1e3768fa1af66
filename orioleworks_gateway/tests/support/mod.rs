//! A small deployment of real processes, and stand-ins that speak the platform's protocol.

pub mod client;
pub mod deployment;
pub mod upstream;
