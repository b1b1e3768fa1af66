//! Copy of the configuration on disk, in the data directory.
//!
//! See `docs/design.md`, section 5.

use std::{
    cell::Cell,
    fs, io,
    io::Write as _,
    path::{Path, PathBuf},
    rc::Rc,
};

use compio::runtime;
use orioleworks_daemon::event;
use orioleworks_proto::inner;
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;

const FILE: &str = "configuration";
const TEMPORARY_FILE: &str = "configuration.new";
/// Length of the checksum before the message.
const CHECKSUM_BYTES: usize = 8;

/// Copy of the configuration on disk; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    directory: Rc<Path>,
    saved_revision: Rc<Cell<u64>>,
}

impl Store {
    /// Opens the directory and reads the copy, if there is a valid one.
    ///
    /// # Errors
    ///
    /// Returns why the directory cannot be used. A damaged copy is logged and ignored, because control and peers have
    /// the configuration too.
    pub fn open(directory: &Path) -> io::Result<(Self, Option<inner::Config>)> {
        fs::create_dir_all(directory)?;
        let config = match fs::read(directory.join(FILE)) {
            Ok(bytes) => decode(&bytes),
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => return Err(e),
        };
        let saved_revision = Cell::new(config.as_ref().map_or(0, |c| c.revision));
        Ok((Self { directory: directory.into(), saved_revision: Rc::new(saved_revision) }, config))
    }

    /// Highest revision that is synced to disk.
    pub fn saved_revision(&self) -> u64 {
        self.saved_revision.get()
    }

    /// Writes and syncs the configuration in force if it is newer; returns whether the copy is up to date.
    pub async fn save(&self, configuration: &Configuration) -> bool {
        let config = configuration.to_message();
        if config.revision <= self.saved_revision.get() {
            return true;
        }
        fail::fail_point!("config.before_persist");
        let revision = config.revision;
        let directory: PathBuf = self.directory.to_path_buf();
        // Syncing on the runtime's thread would block every request.
        let written = runtime::spawn_blocking(move || write(&directory, &config)).await;
        match written {
            Ok(Ok(())) => {
                fail::fail_point!("config.after_persist");
                self.saved_revision.set(revision);
                true
            }
            Ok(Err(e)) => {
                event!(error, "configuration_not_saved", revision = revision, reason = e);
                false
            }
            Err(_) => false,
        }
    }
}

fn write(directory: &Path, config: &inner::Config) -> io::Result<()> {
    let message = config.encode_to_vec();
    let temporary = directory.join(TEMPORARY_FILE);
    let mut file = fs::File::create(&temporary)?;
    file.write_all(&xxh3_64(&message).to_le_bytes())?;
    file.write_all(&message)?;
    file.sync_all()?;
    fs::rename(&temporary, directory.join(FILE))?;
    fs::File::open(directory)?.sync_all()
}

fn decode(bytes: &[u8]) -> Option<inner::Config> {
    let valid = bytes.split_at_checked(CHECKSUM_BYTES).and_then(|(checksum, message)| {
        (checksum == xxh3_64(message).to_le_bytes()).then(|| inner::Config::decode(message).ok())?
    });
    if valid.is_none() {
        event!(warn, "configuration_copy_damaged", file = FILE);
    }
    valid
}
