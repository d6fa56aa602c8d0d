//! One process: start, signals, exit code, restart, its log.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{self, Pid, Signal};

use crate::error::ProofError;
use crate::wait;

/// How to start a program.
#[derive(Debug, Clone)]
#[must_use]
pub struct ProcessPlan {
    program: String,
    name: String,
    args: Vec<String>,
    env: Vec<(String, String)>,
}

impl ProcessPlan {
    /// Plans a run of a program of the workspace, such as `wisteria-control`.
    pub fn new(program: &str, name: &str) -> Self {
        Self {
            program: program.to_string(),
            name: name.to_string(),
            args: Vec::new(),
            env: Vec::new(),
        }
    }

    /// Adds a flag with its value.
    pub fn flag(mut self, name: &str, value: impl ToString) -> Self {
        self.args.push(format!("--{name}"));
        self.args.push(value.to_string());
        self
    }

    /// Adds an argument.
    pub fn arg(mut self, value: impl ToString) -> Self {
        self.args.push(value.to_string());
        self
    }

    /// Sets an environment variable; no other variables are passed on.
    pub fn env(mut self, name: &str, value: impl ToString) -> Self {
        self.env.push((name.to_string(), value.to_string()));
        self
    }

    /// Starts the process; its output goes to `NAME.log` in the folder.
    ///
    /// # Errors
    ///
    /// Fails where the program is not built or can't be started.
    pub fn start(self, folder: &Path) -> Result<ProofProcess, ProofError> {
        let log = folder.join(format!("{}.log", self.name));
        let child = self.spawn(&log)?;
        Ok(ProofProcess {
            plan: self,
            log,
            child: Some(child),
        })
    }

    fn spawn(&self, log: &Path) -> Result<Child, ProofError> {
        let output = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program_path(&self.program)?)
            .args(&self.args)
            .env_clear()
            .envs(self.env.iter().cloned())
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(child)
    }
}

/// A process that the test started; it is killed on drop.
#[derive(Debug)]
pub struct ProofProcess {
    plan: ProcessPlan,
    log: PathBuf,
    child: Option<Child>,
}

impl ProofProcess {
    /// Returns the name that the plan gave.
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Returns the process id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns all that the process has written to its output and error streams.
    pub fn log(&self) -> String {
        fs::read(&self.log)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Kills the process at once (SIGKILL) and reaps it.
    ///
    /// # Errors
    ///
    /// Fails where it is not running.
    pub fn kill(&mut self) -> Result<(), ProofError> {
        let mut child = self.take_child()?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Freezes the process (SIGSTOP): its connections stay open and go silent.
    ///
    /// # Errors
    ///
    /// Fails where it is not running.
    pub fn freeze(&self) -> Result<(), ProofError> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails where it is not running.
    pub fn thaw(&self) -> Result<(), ProofError> {
        self.signal(Signal::CONT)
    }

    /// Tells the process that its settings may have changed (SIGHUP).
    ///
    /// # Errors
    ///
    /// Fails where it is not running.
    pub fn hang_up(&self) -> Result<(), ProofError> {
        self.signal(Signal::HUP)
    }

    /// Asks the process to stop (SIGTERM) without waiting for it.
    ///
    /// # Errors
    ///
    /// Fails where it is not running.
    pub fn terminate(&self) -> Result<(), ProofError> {
        self.signal(Signal::TERM)
    }

    /// Waits for the process to end and returns its exit code; none where a signal ended it.
    ///
    /// # Errors
    ///
    /// Fails where it is not running, or runs on past the bound.
    pub fn wait_exit(&mut self, bound: Duration) -> Result<Option<i32>, ProofError> {
        let mut child = self.take_child()?;
        let mut status = None;
        let waited = wait::wait_until("the process's exit", bound, || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        });
        if let Err(e) = waited {
            self.child = Some(child);
            return Err(e);
        }
        Ok(status.and_then(|status| status.code()))
    }

    /// Stops the process (SIGTERM) and returns its exit code.
    ///
    /// # Errors
    ///
    /// As [`ProofProcess::wait_exit`].
    pub fn stop(&mut self, bound: Duration) -> Result<Option<i32>, ProofError> {
        self.terminate()?;
        self.wait_exit(bound)
    }

    /// Starts the process again with the same settings, killing it first where it still runs.
    ///
    /// # Errors
    ///
    /// Fails where it can't be started.
    pub fn restart(&mut self) -> Result<(), ProofError> {
        if self.child.is_some() {
            self.kill()?;
        }
        self.child = Some(self.plan.spawn(&self.log)?);
        Ok(())
    }

    fn take_child(&mut self) -> Result<Child, ProofError> {
        self.child
            .take()
            .ok_or_else(|| ProofError::Ended(self.plan.name.clone()))
    }

    fn signal(&self, signal: Signal) -> Result<(), ProofError> {
        let ended = || ProofError::Ended(self.plan.name.clone());
        let id = self.id().ok_or_else(ended)?;
        let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
        process::kill_process(pid.ok_or_else(ended)?, signal)?;
        Ok(())
    }
}

impl Drop for ProofProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the path of a program next to the running test's own executable.
///
/// # Errors
///
/// Gives [`ProofError::NotBuilt`] where it isn't there.
pub fn program_path(program: &str) -> Result<PathBuf, ProofError> {
    let test = std::env::current_exe()?;
    let folder = test.parent().unwrap_or(Path::new("."));
    let folder = match folder.file_name() {
        Some(name) if name == "deps" || name == "examples" => folder.parent().unwrap_or(folder),
        _ => folder,
    };
    let path = folder.join(program);
    if path.is_file() {
        return Ok(path);
    }
    Err(ProofError::NotBuilt(path))
}
