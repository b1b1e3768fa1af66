//! Addresses of control, from an option or a settings file.

use std::net::SocketAddr;

use orioleworks_settings::{self as settings, Problems, Settings};
use serde::Deserialize;

use crate::cli;

/// Settings file of the command line.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Control replicas.
    pub control: Vec<SocketAddr>,
}

impl Settings for Config {
    fn check(&self, problems: &mut Problems) {
        problems.require("control", !self.control.is_empty(), "at least one address is needed");
    }
}

/// Addresses of the control replicas.
///
/// # Errors
///
/// Returns a message that says which option or key is wrong.
pub fn addresses(options: &cli::Options) -> Result<Vec<String>, String> {
    match (&options.control, &options.config) {
        (Some(list), _) => list
            .split(',')
            .map(|address| match address.trim().parse::<SocketAddr>() {
                Ok(address) => Ok(address.to_string()),
                Err(_) => Err(format!("option --control: `{address}` is not IP and port")),
            })
            .collect(),
        (None, Some(path)) => settings::load::<Config>(path)
            .map(|cfg| cfg.control.iter().map(ToString::to_string).collect())
            .map_err(|e| e.to_string()),
        (None, None) => Err("option --control or --config is required".to_owned()),
    }
}
