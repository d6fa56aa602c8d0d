//! One child process: start, signals, exit code, restart and log.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{self, Pid, Resource, Rlimit, Signal};

use crate::error::ProofError;
use crate::http::HttpCall;
use crate::wait;

/// The program, arguments and environment of a process.
#[derive(Debug, Clone)]
#[must_use]
pub struct ProcessPlan {
    program: String,
    name: String,
    args: Vec<String>,
    env: Vec<(String, String)>,
    limits_files: bool,
}

/// Interval at which a process that is being suspended is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Shell command that runs a program in which a write beyond the limit of a file's size fails, and doesn't end
/// the process.
const FILE_LIMIT_SHELL: [&str; 2] = ["-c", r#"trap "" XFSZ; exec "$0" "$@""#];

impl ProcessPlan {
    /// Creates the plan of a process that runs a program of the workspace, such as
    /// `wisteria-control`. The `name` identifies the process in errors and names its log file.
    pub fn new(program: &str, name: &str) -> Self {
        Self {
            program: program.to_string(),
            name: name.to_string(),
            args: Vec::new(),
            env: Vec::new(),
            limits_files: false,
        }
    }

    /// Allows [`ProofProcess::limit_files`].
    pub fn limit_files(mut self) -> Self {
        self.limits_files = true;
        self
    }

    /// Adds the flag `--name` with its value.
    pub fn flag(mut self, name: &str, value: impl ToString) -> Self {
        self.args.push(format!("--{name}"));
        self.args.push(value.to_string());
        self
    }

    /// Adds one positional argument.
    pub fn arg(mut self, value: impl ToString) -> Self {
        self.args.push(value.to_string());
        self
    }

    /// Adds an environment variable; the process inherits none from the test.
    pub fn env(mut self, name: &str, value: impl ToString) -> Self {
        self.env.push((name.to_string(), value.to_string()));
        self
    }

    /// Starts the process, which appends its output to `NAME.log` in the folder.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built or does not start.
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
        let program = program_path(&self.program)?;
        let mut command = if self.limits_files {
            let mut shell = Command::new("/bin/sh");
            shell.args(FILE_LIMIT_SHELL).arg(program);
            shell
        } else {
            Command::new(program)
        };
        let child = command
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

/// A process that the test started; dropping it kills the process.
#[derive(Debug)]
pub struct ProofProcess {
    plan: ProcessPlan,
    log: PathBuf,
    child: Option<Child>,
}

impl ProofProcess {
    /// Returns the name of the process in its plan.
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Returns the process id, or `None` after the process was killed or its exit was awaited.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns everything that the process has written to standard output and standard error.
    pub fn log(&self) -> String {
        fs::read(&self.log)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Waits until the process answers `GET /health` with status 200 at an address.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotStarted`] with the log if the process ends, or does not answer
    /// within `timeout`.
    pub fn wait_start(&mut self, address: SocketAddr, timeout: Duration) -> Result<(), ProofError> {
        let mut is_healthy = false;
        let mut has_ended = false;
        let waited = wait::wait_until("the start", timeout, || {
            let call = HttpCall::get(address, "/health").bound(Duration::from_secs(1));
            is_healthy = call.send().is_ok_and(|answer| answer.status == 200);
            // Another process may answer in place of one that ended.
            has_ended = !self.is_running();
            is_healthy || has_ended
        });
        if waited.is_ok() && is_healthy && !has_ended {
            return Ok(());
        }
        let name = self.name().to_string();
        Err(ProofError::NotStarted(name, has_ended, self.log()))
    }

    /// Kills the process at once (SIGKILL) and reaps it.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotRunning`] if the process is not running.
    pub fn kill(&mut self) -> Result<(), ProofError> {
        let mut child = self.take_child()?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Suspends the process (SIGSTOP) and waits until all its threads stand still; its connections stay open but do
    /// not respond.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotRunning`] if the process is not running.
    pub fn freeze(&self) -> Result<(), ProofError> {
        self.signal(Signal::STOP)?;
        while self.id().is_some_and(has_running_threads) {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotRunning`] if the process is not running.
    pub fn thaw(&self) -> Result<(), ProofError> {
        self.signal(Signal::CONT)
    }

    /// Makes the process reload its settings (SIGHUP).
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotRunning`] if the process is not running.
    pub fn hang_up(&self) -> Result<(), ProofError> {
        self.signal(Signal::HUP)
    }

    /// Makes writes beyond a size of a file fail, as those to a full disk do; `None` lifts the limit. The plan must
    /// allow it.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotRunning`] if the process is not running.
    pub fn limit_files(&self, bytes: Option<u64>) -> Result<(), ProofError> {
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        process::prlimit(Some(self.pid()?), Resource::Fsize, limit)?;
        Ok(())
    }

    /// Requests a graceful stop (SIGTERM) without waiting for the exit.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotRunning`] if the process is not running.
    pub fn terminate(&self) -> Result<(), ProofError> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process exits, and returns its exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    ///
    /// Returns [`ProofError::NotRunning`] if the process is not running, and
    /// [`ProofError::Timeout`] if it does not exit within `timeout`.
    pub fn wait_exit(&mut self, timeout: Duration) -> Result<Option<i32>, ProofError> {
        let mut child = self.take_child()?;
        let condition = format!("the exit of {}", self.plan.name);
        let mut status = None;
        let waited = wait::wait_until(&condition, timeout, || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        });
        if let Err(e) = waited {
            self.child = Some(child);
            return Err(e);
        }
        Ok(status.and_then(|status| status.code()))
    }

    /// Stops the process gracefully (SIGTERM) and returns its exit code, or `None` if a signal
    /// ended it.
    ///
    /// # Errors
    ///
    /// Fails like [`ProofProcess::wait_exit`].
    pub fn stop(&mut self, timeout: Duration) -> Result<Option<i32>, ProofError> {
        self.terminate()?;
        self.wait_exit(timeout)
    }

    /// Starts the process again from the same plan, after killing it if it is still running.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
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
            .ok_or_else(|| ProofError::NotRunning(self.plan.name.clone()))
    }

    fn signal(&self, signal: Signal) -> Result<(), ProofError> {
        process::kill_process(self.pid()?, signal)?;
        Ok(())
    }

    fn pid(&self) -> Result<Pid, ProofError> {
        let id = self.id().and_then(|id| i32::try_from(id).ok());
        id.and_then(Pid::from_raw)
            .ok_or_else(|| ProofError::NotRunning(self.plan.name.clone()))
    }
}

impl Drop for ProofProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored, as the process may already have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns whether threads of a process are neither suspended nor ended.
fn has_running_threads(id: u32) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return false;
    };
    threads.flatten().any(|thread| {
        let text = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name, which is in brackets.
        let state = text
            .rsplit(") ")
            .next()
            .and_then(|rest| rest.chars().next());
        state.is_some_and(|state| !matches!(state, 'T' | 't' | 'Z' | 'X'))
    })
}

/// Returns the path of a program in the target folder of the running test or example.
///
/// # Errors
///
/// Returns [`ProofError::NotBuilt`] if the program does not exist there.
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
