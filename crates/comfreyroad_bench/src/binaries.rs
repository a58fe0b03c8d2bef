//! Paths of the programs.

use std::path::{Path, PathBuf};

use crate::{Error, Result};

/// The programs of one build, all in one folder.
#[derive(Clone, Debug)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// The programs in the folder of another program.
    pub fn beside(program: &Path) -> Result<Self> {
        let folder = program.parent().unwrap_or(program).to_owned();
        let binaries = Self { folder };
        for path in [
            binaries.entry(),
            binaries.fakes(),
            binaries.load(),
            binaries.operator(),
        ] {
            path.metadata().map_err(|source| Error::File {
                step: "find program",
                path,
                source,
            })?;
        }
        Ok(binaries)
    }

    /// The programs in the folder of the running executable.
    pub fn beside_current_exe() -> Result<Self> {
        let program = std::env::current_exe().map_err(|source| Error::File {
            step: "find program",
            path: PathBuf::new(),
            source,
        })?;
        Self::beside(&program)
    }

    /// The entry daemon.
    #[must_use]
    pub fn entry(&self) -> PathBuf {
        self.folder.join("comfreyroad-entry")
    }

    /// The fake services.
    #[must_use]
    pub fn fakes(&self) -> PathBuf {
        self.folder.join("comfreyroad-fakes")
    }

    /// The load tool.
    #[must_use]
    pub fn load(&self) -> PathBuf {
        self.folder.join("comfreyroad-load")
    }

    /// The operator command.
    #[must_use]
    pub fn operator(&self) -> PathBuf {
        self.folder.join("comfreyroad")
    }

    /// This crate's own program.
    #[must_use]
    pub fn bench(&self) -> PathBuf {
        self.folder.join("comfreyroad-bench")
    }
}
