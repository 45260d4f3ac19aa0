//! An entry VM, which runs a proxy and a controller.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use corianderfork_standins::spawn::{self, Process};

/// The settings of an entry VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry VM's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The peers to contact while the store is down, separated by commas.
    pub seeds: String,
    /// Additional lines for the proxy's section.
    pub proxy: String,
    /// Additional lines for the controller's section.
    pub controller: String,
}

/// A running entry VM.
#[derive(Debug)]
pub struct Entry {
    /// Its settings.
    pub settings: Settings,
    /// Its proxy, `None` before the start and after a kill.
    pub proxy: Option<Process>,
    /// Its controller, `None` before the start and after a kill.
    pub controller: Option<Process>,
    dir: PathBuf,
    starts: u32,
}

impl Entry {
    /// Creates an entry VM without processes that keeps its logs in `dir`.
    pub fn new(settings: Settings, dir: &Path) -> Self {
        Self { settings, proxy: None, controller: None, dir: dir.to_owned(), starts: 0 }
    }

    /// Starts the proxy and waits until it serves its peers, though perhaps not yet
    /// callers.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start_proxy(&mut self) {
        let extra = self.settings.proxy.clone();
        let seeds = self.seeds();
        let section = format!("[proxy]\ncallers = 127.0.0.1:0\n{seeds}{extra}");
        self.proxy = Some(self.start("corianderfork-proxy", &section));
    }

    /// Starts the controller.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn start_controller(&mut self) {
        let extra = self.settings.controller.clone();
        let seeds = self.seeds();
        let section = format!("[controller]\nadmin = 127.0.0.1:0\n{seeds}{extra}");
        self.controller = Some(self.start("corianderfork-controller", &section));
    }

    fn seeds(&self) -> String {
        let seeds = &self.settings.seeds;
        if seeds.is_empty() { String::new() } else { format!("seeds = {seeds}\n") }
    }

    fn start(&mut self, program: &str, section: &str) -> Process {
        self.starts += 1;
        let name = &self.settings.name;
        let stem = format!("{name}-{program}-{}", self.starts);
        let mut text = String::new();
        let Settings { data_centre, platform, .. } = &self.settings;
        writeln!(text, "[process]\nname = {name}\ndata_centre = {data_centre}").expect("memory");
        writeln!(text, "platform = {platform}\npeers = 127.0.0.1:0").expect("memory");
        writeln!(text, "log = info\nlog_format = text\n\n{section}").expect("memory");
        let path = self.dir.join(format!("{stem}.ini"));
        std::fs::write(&path, text).expect("the directory is writable");
        let program = spawn::binary(program).expect("built");
        let args = ["--settings".as_ref(), path.as_os_str()];
        Process::spawn(&program, &args, &self.dir.join(format!("{stem}.log"))).expect("starts")
    }

    /// Returns the proxy's address for callers.
    ///
    /// # Panics
    ///
    /// Panics if it is not running.
    pub fn callers(&self) -> SocketAddr {
        self.proxy.as_ref().expect("runs").address(0)
    }

    /// Returns the controller's admin address, which serves its metrics.
    ///
    /// # Panics
    ///
    /// Panics if it is not running.
    pub fn admin(&self) -> SocketAddr {
        self.controller.as_ref().expect("runs").address(0)
    }
}
