//! Faults at a named step of a daemon that was built with fail points.

use std::{fs, io};

use crate::{
    deployment::{Deployment, DeploymentError, system},
    relay::Relay,
};

/// Variable that names a daemon's file of armed fail points; see `orioleworks_daemon::failpoints`.
const FILE_VARIABLE: &str = "ORIOLEWORKS_FAILPOINTS_FILE";

impl Deployment {
    fn failpoints_path(&self, name: &str) -> std::path::PathBuf {
        self.options.directory.join(format!("{name}.failpoints"))
    }

    pub(crate) fn failpoints_variable(&self, name: &str) -> (String, String) {
        (FILE_VARIABLE.to_owned(), self.failpoints_path(name).display().to_string())
    }

    /// Arms a fail point of a daemon, running or not, for one use; the action is `panic` or `sleep(<ms>)`.
    ///
    /// # Errors
    ///
    /// Returns what the operating system refused.
    pub fn arm(&self, name: &str, fail_point: &str, action: &str) -> Result<(), DeploymentError> {
        self.disarm(name)?;
        let path = self.failpoints_path(name);
        let temporary = path.with_extension("new");
        let written = fs::write(&temporary, format!("{fail_point}={action}\n"));
        written.and_then(|()| fs::rename(&temporary, &path)).map_err(system(name))
    }

    /// Disarms the fail points of a daemon, as before the start of one that died at a step.
    ///
    /// # Errors
    ///
    /// Returns what the operating system refused.
    pub fn disarm(&self, name: &str) -> Result<(), DeploymentError> {
        let path = self.failpoints_path(name);
        for path in [path.with_extension("reached"), path] {
            match fs::remove_file(path) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(system(name)(e)),
                _ => (),
            }
        }
        Ok(())
    }

    /// Whether the armed fail point of a daemon was reached.
    pub fn reached(&self, name: &str) -> bool {
        self.failpoints_path(name).with_extension("reached").exists()
    }

    /// Holds back the replies of daemons at their inner ports, while requests still arrive.
    pub fn hold_replies<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        names.into_iter().filter_map(|name| self.relays.get(name)).for_each(Relay::hold_replies);
    }

    /// Loses the replies that are held back; the connections of the daemons' inner ports break.
    pub fn lose_replies<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        names.into_iter().filter_map(|name| self.relays.get(name)).for_each(Relay::lose_replies);
    }
}
