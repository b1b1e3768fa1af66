//! A small deployment of real processes, and stand-ins that speak the platform's protocol.

// Each test program uses a part of it.
#![allow(dead_code)]

pub mod client;
pub mod deployment;
pub mod ledger;
pub mod paths;
pub mod proxy;
pub mod routes;
pub mod upstream;
