//! Processes that this one has started.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use compio::time::sleep;
use rustix::process::{Pid, Signal, kill_process};

use crate::{Error, Result, folder};

/// Wait between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a process gets to end by itself.
const TERM_GRACE: Duration = Duration::from_secs(2);
/// Bytes of a program's output that an error shows.
const SHOWN_BYTES: usize = 600;

/// A process that ends, by its id, when this is dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
    output: PathBuf,
    status: Option<ExitStatus>,
}

impl Child {
    /// Starts a program whose output goes to a file.
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

    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Where its output goes.
    #[must_use]
    pub fn output(&self) -> &Path {
        &self.output
    }

    /// How it ended, if it has.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>> {
        if self.status.is_none() {
            self.status = self
                .process
                .try_wait()
                .map_err(|source| self.fail("watch", source))?;
        }
        Ok(self.status)
    }

    /// Waits for its end.
    pub async fn wait(&mut self, deadline: Instant) -> Result<ExitStatus> {
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(Error::Deadline {
                    step: "wait for the end",
                    peer: self.name.clone(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for its end, and for success; gives what it wrote.
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

    /// Asks it to end.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Ends it at once.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)
    }

    /// Stops it for a while.
    pub fn pause(&mut self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after a pause.
    pub fn resume(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// An ended process has no id any more, and gets no signal.
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
        // A failure to signal means that it is gone, or that the kill below has to do.
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
