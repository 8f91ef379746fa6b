//! A box without a free descriptor: it says so, blames no engine, and recovers.

use std::fs::File;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hollyspoke::key::Incarnation;
use hollyspoke::message::Message;
use hollyspoke_daemon::input::InputSender;
use hollyspoke_daemon::peers::Peers;
use hollyspoke_tests::platform::{
    Action, Script, ask, client_head, engine, local, log, node, read_answer, status, store, whole,
};
use nix::sys::resource::{Resource, UsageWho, getrlimit, getrusage, setrlimit};
use nix::sys::time::TimeValLike;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The limit belongs to the process, so the tests take turns.
static TURN: Mutex<()> = Mutex::new(());

/// A limit without a free descriptor, until it is dropped.
struct Exhausted {
    /// The limits before.
    limits: (u64, u64),
}

impl Exhausted {
    /// Lowers the limit to the descriptors in use.
    fn begin() -> Exhausted {
        let limits = getrlimit(Resource::RLIMIT_NOFILE).expect("the limit can be read");
        let probe = File::open("/dev/null").expect("a descriptor is free");
        let free = probe.as_raw_fd() as u64;
        drop(probe);
        setrlimit(Resource::RLIMIT_NOFILE, free, limits.1).expect("the limit can be lowered");
        Exhausted { limits }
    }
}

impl Drop for Exhausted {
    fn drop(&mut self) {
        let (soft, hard) = self.limits;
        setrlimit(Resource::RLIMIT_NOFILE, soft, hard).expect("the limit can be restored");
    }
}

/// Returns the script of an engine that answers everything.
fn answers() -> Script {
    Rc::new(|it| vec![Action::Send(whole(it, "x"))])
}

/// Runs a test while no other one of this file runs.
fn alone(test: impl Future<Output = ()>) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    local(test);
}

/// Returns the processor time of this process.
fn processor_time() -> Duration {
    let usage = getrusage(UsageWho::RUSAGE_SELF).expect("the usage can be read");
    let micros = (usage.user_time() + usage.system_time()).num_microseconds();
    Duration::from_micros(micros as u64)
}

/// Sends a request over an open connection, and returns the answer.
async fn ask_over(stream: &mut TcpStream, method: &str, path: &str, id: &str) -> String {
    stream.write_all(client_head(method, path, id, "").as_bytes()).await.expect("it is open");
    read_answer(stream).await
}

/// A request that the box has no descriptor to send is refused as not run, and its engines are in
/// use again as soon as there is one.
#[test]
fn own_shortage_blamed_on_engines() {
    alone(async {
        let store = store().await;
        store.configure(1);
        let engines = [engine(answers()).await, engine(answers()).await, engine(answers()).await];
        for (number, it) in engines.iter().enumerate() {
            store.list(&format!("e-{number}"), it, "plain", None);
        }
        let node = node(&store).await;
        while node.node.with(|it| it.engine_count()) < engines.len() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut client = TcpStream::connect(node.front).await.expect("the front listens");
        let answer = ask_over(&mut client, "POST", "/unsafe/x", "id-0").await;
        assert_eq!(status(&answer), "200");
        let exhausted = Exhausted::begin();
        for number in 1..6 {
            let id = format!("id-{number}");
            let answer = ask_over(&mut client, "POST", "/unsafe/x", &id).await;
            assert_eq!(status(&answer), "503", "{answer}");
            assert!(answer.to_ascii_lowercase().contains("retry-after"), "{answer}");
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let metrics = node.node.metrics.text();
        drop(exhausted);
        assert!(
            metrics.contains("hollyspoke_socket_shortages_total{resource=\"descriptors\""),
            "{metrics}"
        );
        assert!(!metrics.contains("hollyspoke_contact_lost{service=\"plain\"} 1"), "{metrics}");
        let answer = ask_over(&mut client, "POST", "/unsafe/x", "id-6").await;
        assert_eq!(status(&answer), "200", "the engines are avoided for the box's own shortage");
    });
}

/// Connections that can't be accepted cost no processor time, and are accepted later.
#[test]
fn failing_accept_spins() {
    alone(async {
        let store = store().await;
        store.configure(1);
        let engine = engine(answers()).await;
        store.list("e-0", &engine, "plain", None);
        let node = node(&store).await;
        while node.node.with(|it| it.engine_count()) < 1 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let socket = tokio::net::TcpSocket::new_v4().expect("a descriptor is free");
        let exhausted = Exhausted::begin();
        let mut client = socket.connect(node.front).await.expect("the backlog takes it");
        let before = processor_time();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let spent = processor_time() - before;
        drop(exhausted);
        assert!(spent < Duration::from_millis(500), "{spent:?} of a second");
        let answer = ask_over(&mut client, "GET", "/safe/x", "id-1").await;
        assert_eq!(status(&answer), "200");
        let head = client_head("GET", "/safe/x", "id-2", "");
        assert_eq!(status(&ask(node.front, &head).await), "200");
    });
}

/// A box that can't open a connection to another one for lack of a descriptor does not take it for
/// unreachable.
#[test]
fn own_shortage_blamed_on_box() {
    alone(async {
        let (inputs, mut received) = InputSender::new();
        let other = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = other.local_addr().expect("it is bound").to_string();
        let mut peers = Peers::new(Incarnation(1), inputs, log());
        let exhausted = Exhausted::begin();
        peers.send(Incarnation(2), address.clone(), Message::SiteWanted);
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(exhausted);
        assert!(received.try_recv().is_err(), "the other box counts as unreachable");
        peers.send(Incarnation(2), address, Message::SiteWanted);
        tokio::time::timeout(Duration::from_secs(1), other.accept())
            .await
            .expect("the next message opens a connection")
            .expect("it is accepted");
    });
}
