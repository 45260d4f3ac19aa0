//! Child processes under test.

use std::ffi::OsStr;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A child process that has printed that it is ready. Killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: String,
    stderr: PathBuf,
}

impl Process {
    /// Starts `program`, redirects its stderr to the file `stderr` and waits for a
    /// line `ready …` on its stdout.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started, exits before it is ready or is not ready after
    /// 30 s. In the last two cases the message contains its stderr.
    pub fn spawn<S: AsRef<OsStr>>(program: &Path, args: &[S], stderr: &Path) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(stderr)?)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.display())))?;
        let stdout = child.stdout.take();
        let mut process = Self { child, ready: String::new(), stderr: stderr.to_owned() };
        let (send, lines) = mpsc::channel();
        // Keeps reading after `ready`, or the child would block on a full pipe.
        thread::spawn(move || {
            for line in stdout.into_iter().flat_map(|out| BufReader::new(out).lines()) {
                let _ = line.map(|line| send.send(line));
            }
        });
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = lines.recv_timeout(left) else { return Err(process.not_ready()) };
            if let Some(rest) = line.strip_prefix("ready") {
                process.ready = rest.trim().to_owned();
                return Ok(process);
            }
        }
    }

    fn not_ready(&self) -> io::Error {
        let stderr = std::fs::read_to_string(&self.stderr).unwrap_or_default();
        io::Error::other(format!("the process did not become ready; its stderr: {stderr}"))
    }

    /// Returns the text after `ready` on its line.
    pub fn ready(&self) -> &str {
        &self.ready
    }

    /// Returns the `n`th socket address on the ready line, counted from 0.
    ///
    /// # Panics
    ///
    /// Panics if there is no such address.
    pub fn address(&self, n: usize) -> SocketAddr {
        let found = self.ready.split_whitespace().filter_map(|word| word.parse().ok()).nth(n);
        found.unwrap_or_else(|| panic!("no address {n} in the ready line `{}`", self.ready))
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM, which asks it to stop gracefully.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn term(&self) -> io::Result<()> {
        self.signal("TERM")
    }

    /// Freezes it with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn stop(&self) -> io::Result<()> {
        self.signal("STOP")
    }

    /// Resumes it after [`stop`](Self::stop).
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn cont(&self) -> io::Result<()> {
        self.signal("CONT")
    }

    /// Kills it, frozen or not, and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Waits at most `limit` until it exits. Returns `None` if it still runs.
    ///
    /// # Errors
    ///
    /// Fails if its state can't be read.
    pub fn wait(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + limit;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, name: &str) -> io::Result<()> {
        // Uses the shell's builtin, since minimal systems have no `kill` program.
        let command = format!("kill -{name} {}", self.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Returns the path of the program `name` of this workspace, which cargo puts
/// beside the running test or benchmark.
///
/// # Errors
///
/// Fails if it has not been built.
pub fn binary(name: &str) -> io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let found = exe.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.is_file());
    let message = || format!("`{name}` isn't built; run `cargo build --workspace --bins` first");
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, message()))
}
