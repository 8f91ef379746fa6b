//! A box of the users' platform as a process of its own, whose memory and descriptors a test watches.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::Signal;

use crate::process::Process;

/// The number of settings files that this process has written.
static FILE_COUNT: AtomicU32 = AtomicU32::new(0);

/// What a box may use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The memory of the process, in megabytes.
    pub memory_mb: usize,
    /// The number of descriptors; none for those that the test itself may use.
    pub descriptors: Option<u64>,
}

/// A running box.
#[derive(Debug)]
pub struct BoxProcess {
    /// The process.
    process: Process,
    /// The address for clients' requests.
    pub front: SocketAddr,
    /// The settings file.
    settings: PathBuf,
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // A file that is left behind harms nobody.
        _ = std::fs::remove_file(&self.settings);
    }
}

impl BoxProcess {
    /// Starts a box before a store.
    ///
    /// # Panics
    ///
    /// If it doesn't start.
    pub fn start(store: SocketAddr, limits: Limits) -> BoxProcess {
        let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hollyspoke-box-{}-{number}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, settings_text(store, limits)).expect("the file can be written");
        let before = getrlimit(Resource::RLIMIT_NOFILE).expect("the limit can be read");
        if let Some(descriptors) = limits.descriptors {
            setrlimit(Resource::RLIMIT_NOFILE, descriptors, before.1).expect("it can be lowered");
        }
        let started = Process::node(&settings);
        setrlimit(Resource::RLIMIT_NOFILE, before.0, before.1).expect("it can be restored");
        let process = started.expect("the box starts");
        let front = process.address.parse().expect("it prints its address");
        BoxProcess { process, front, settings }
    }

    /// Tells the box to stop.
    pub fn stop(&self) {
        self.process.signal(Signal::SIGTERM);
    }

    /// Lets the process of the box stand still.
    pub fn pause(&self) {
        self.process.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.process.signal(Signal::SIGCONT);
    }

    /// Ends the process by force.
    pub fn kill(&self) {
        self.process.signal(Signal::SIGKILL);
    }

    /// Returns the peak of its resident memory, in bytes; none if the process has ended.
    pub fn peak_memory(&self) -> Option<usize> {
        let status = self.process.file("status")?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        let kilobytes: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes * 1024)
    }
}

/// Returns the text of a box's settings.
fn settings_text(store: SocketAddr, limits: Limits) -> String {
    let Limits { memory_mb, .. } = limits;
    format!(
        "[box]\nname = \"node\"\ndata_centre = \"north\"\nseeds = []\n[regions]\n[listen]\n\
         front = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\ndirectory = \"127.0.0.1:0\"\n\
         peer_port = 0\n[store]\naddress = \"{store}\"\n[limits]\nmemory_mb = {memory_mb}\n"
    )
}
