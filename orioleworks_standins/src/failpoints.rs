//! Fail points of the daemons, and lost replies. The daemons must be built with fail points.

use std::{fs, io};

use crate::{
    deployment::{Deployment, DeploymentError, system_error},
    relay::Relay,
};

/// Environment variable with the path of a daemon's file of armed fail points; see `orioleworks_daemon::failpoints`.
const FILE_VARIABLE: &str = "ORIOLEWORKS_FAILPOINTS_FILE";

impl Deployment {
    fn failpoints_path(&self, name: &str) -> std::path::PathBuf {
        self.options.directory.join(format!("{name}.failpoints"))
    }

    pub(crate) fn failpoints_variable(&self, name: &str) -> (String, String) {
        (FILE_VARIABLE.to_owned(), self.failpoints_path(name).display().to_string())
    }

    /// Arms a fail point of a daemon for one use; the daemon need not run. The action is `panic` or `sleep(<ms>)`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn arm_fail_point(
        &self,
        name: &str,
        fail_point: &str,
        action: &str,
    ) -> Result<(), DeploymentError> {
        self.disarm_fail_points(name)?;
        let path = self.failpoints_path(name);
        let temporary = path.with_extension("new");
        let written = fs::write(&temporary, format!("{fail_point}={action}\n"));
        written.and_then(|()| fs::rename(&temporary, &path)).map_err(system_error(name))
    }

    /// Disarms the fail points of a daemon, for example before the restart of a daemon that crashed at one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn disarm_fail_points(&self, name: &str) -> Result<(), DeploymentError> {
        let path = self.failpoints_path(name);
        for path in [path.with_extension("reached"), path] {
            match fs::remove_file(path) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(system_error(name)(e)),
                _ => (),
            }
        }
        Ok(())
    }

    /// Whether the daemon has reached its armed fail point.
    pub fn fail_point_reached(&self, name: &str) -> bool {
        self.failpoints_path(name).with_extension("reached").exists()
    }

    /// Holds back the replies of daemons at their inner ports, while requests still arrive.
    pub fn hold_replies<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        names.into_iter().filter_map(|name| self.relays.get(name)).for_each(Relay::hold_replies);
    }

    /// Discards the replies that are held back by closing the connections to the inner ports of the daemons.
    pub fn lose_replies<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        names
            .into_iter()
            .filter_map(|name| self.relays.get(name))
            .for_each(Relay::discard_held_replies);
    }
}
