//! Temporary folder for the files of one run.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::{Error, Result};

/// Number of folders created by this process.
static CREATED: AtomicU32 = AtomicU32::new(0);

/// A temporary folder that is removed when dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Creates a folder in the system's temporary folder.
    pub fn new() -> Result<Self> {
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let name = format!("comfreyroad-bench-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        match std::fs::create_dir_all(&path) {
            Ok(()) => Ok(Self { path }),
            Err(source) => Err(Error::File {
                step: "create folder",
                path,
                source,
            }),
        }
    }

    /// Path of a file in the folder.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file in the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.file(name);
        write(&path, text)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A failure leaves only a temporary folder behind.
        std::fs::remove_dir_all(&self.path).ok();
    }
}

/// Reads a text file.
pub fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        step: "read",
        path: path.to_owned(),
        source,
    })
}

/// Writes a text file.
pub fn write(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).map_err(|source| Error::File {
        step: "write",
        path: path.to_owned(),
        source,
    })
}
