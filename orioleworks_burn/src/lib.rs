//! Error budget report of orioleworks, from the entries' metrics and request logs.

pub mod app;
pub mod burn;
pub mod cli;
pub mod config;
pub mod exposition;
pub mod history;
pub mod picture;
pub mod report;
pub mod requests;
