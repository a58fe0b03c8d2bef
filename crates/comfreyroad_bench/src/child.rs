//! Child processes.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use compio::time::sleep;
use rustix::process::{Pid, Signal, kill_process};

use crate::{Error, Result, folder};

/// Interval between two polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time from SIGTERM to SIGKILL when a child is dropped.
const TERM_GRACE: Duration = Duration::from_secs(2);
/// Bytes at the end of a program's output that an error message contains.
const SHOWN_BYTES: usize = 600;

/// A child process, terminated by its process id when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
    output: PathBuf,
    status: Option<ExitStatus>,
}

impl Child {
    /// Starts a program with standard output and standard error redirected to a file.
    pub fn start(name: &str, command: &mut Command, output: PathBuf) -> Result<Self> {
        let fail = |source| Error::Program {
            step: "start",
            program: name.to_owned(),
            source,
        };
        let file = File::create(&output).map_err(fail)?;
        let errors = file.try_clone().map_err(fail)?;
        let process = command
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .map_err(fail)?;
        Ok(Self {
            name: name.to_owned(),
            process,
            output,
            status: None,
        })
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Path of the file with the output.
    #[must_use]
    pub fn output(&self) -> &Path {
        &self.output
    }

    /// The exit status if the process has exited.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>> {
        if self.status.is_none() {
            self.status = self
                .process
                .try_wait()
                .map_err(|source| self.fail("watch", source))?;
        }
        Ok(self.status)
    }

    /// Waits for the process to exit.
    pub async fn wait(&mut self, deadline: Instant) -> Result<ExitStatus> {
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(Error::Deadline {
                    step: "wait for exit",
                    peer: self.name.clone(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for the process to exit successfully and returns its output.
    pub async fn wait_for_success(&mut self, deadline: Instant) -> Result<String> {
        let status = self.wait(deadline).await?;
        let output = folder::read(&self.output)?;
        if status.success() {
            return Ok(output);
        }
        let from = output.len().saturating_sub(SHOWN_BYTES);
        let from = (from..output.len()).find(|index| output.is_char_boundary(*index));
        Err(Error::Exited {
            program: self.name.clone(),
            status: status.to_string(),
            output: output[from.unwrap_or_default()..].to_owned(),
        })
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&mut self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends a signal, unless the process has exited and its id may belong to another process.
    fn signal(&mut self, signal: Signal) -> Result<()> {
        if self.try_wait()?.is_some() {
            return Ok(());
        }
        let id = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        let Some(id) = id else {
            return Ok(());
        };
        kill_process(id, signal).map_err(|errno| self.fail("signal", errno.into()))
    }

    fn fail(&self, step: &'static str, source: io::Error) -> Error {
        Error::Program {
            step,
            program: self.name.clone(),
            source,
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Signal errors are ignored: the process has exited already, or the kill below ends it.
        self.terminate().ok();
        self.resume().ok();
        let deadline = Instant::now() + TERM_GRACE;
        while matches!(self.try_wait(), Ok(None)) && Instant::now() < deadline {
            std::thread::sleep(POLL_INTERVAL);
        }
        if matches!(self.try_wait(), Ok(None)) {
            self.process.kill().ok();
            self.process.wait().ok();
        }
    }
}
