//! The ways between boxes in the soak: what a cut keeps apart, and what becomes of datagrams.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_soak::peering::{Direction, Disorder, Peering, Place};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::task::LocalSet;

/// How long a datagram is waited for that is not late.
const SOON: Duration = Duration::from_millis(200);

/// Three boxes and the ways between them.
struct World {
    /// The ways.
    peering: Rc<Peering>,
    /// The boxes' sockets.
    sockets: Vec<UdpSocket>,
    /// The boxes' places.
    places: Vec<Place>,
}

impl World {
    /// Opens sockets of three boxes on loopback addresses that no other test has.
    async fn open(test: u8) -> World {
        let ip = |number: usize| Ipv4Addr::new(127, 3, test, number as u8 + 1);
        let mut sockets = Vec::new();
        let mut places = Vec::new();
        for number in 0..3 {
            let socket = UdpSocket::bind((ip(number), 7380)).await.expect("a free port");
            let announced = SocketAddr::from((ip(number), 7381));
            places.push(Place { own: socket.local_addr().expect("it is bound"), announced });
            sockets.push(socket);
        }
        let peering = Peering::open(places.clone()).await.expect("free ports");
        World { peering, sockets, places }
    }

    /// Sends a datagram from one box to another and counts what comes within a time.
    async fn count(&self, from: usize, to: usize, within: Duration) -> usize {
        let announced = self.places[to].announced;
        self.sockets[from].send_to(b"word", announced).await.expect("it is sent");
        let mut bytes = [0; 16];
        let mut count = 0;
        let all = async {
            while let Ok((4, _)) = self.sockets[to].recv_from(&mut bytes).await {
                count += 1;
            }
        };
        // Waiting ends with the time alone.
        _ = tokio::time::timeout(within, all).await;
        count
    }

    /// Tells which of the six ways between two of the boxes are open.
    async fn open_ways(&self) -> Vec<(usize, usize)> {
        let mut open = Vec::new();
        for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)] {
            if self.count(from, to, SOON).await == 1 {
                open.push((from, to));
            }
        }
        open
    }
}

/// Boxes that are cut off hear each other and nobody else; one way may stay open.
#[tokio::test]
async fn cuts() {
    let run = async {
        let world = World::open(1).await;
        assert_eq!(world.open_ways().await.len(), 6);
        for (direction, open) in [
            (Direction::Both, vec![(0, 1), (1, 0)]),
            (Direction::Out, vec![(0, 1), (1, 0), (2, 0), (2, 1)]),
            (Direction::In, vec![(0, 1), (1, 0), (0, 2), (1, 2)]),
        ] {
            let cut = world.peering.cut(&[0, 1], direction);
            assert_eq!(world.open_ways().await, open, "{direction:?}");
            world.peering.heal(cut);
        }
        assert_eq!(world.open_ways().await.len(), 6);
    };
    LocalSet::new().run_until(run).await;
}

/// Datagrams are lost, come twice, or come late.
#[tokio::test]
async fn disorder() {
    let run = async {
        let world = World::open(2).await;
        let all = Disorder::default();
        world.peering.set(Disorder { lost: 100, ..all });
        assert_eq!(world.count(0, 1, SOON).await, 0);
        world.peering.set(Disorder { doubled: 100, ..all });
        assert_eq!(world.count(0, 1, SOON).await, 2);
        world.peering.set(Disorder { late: 100, ..all });
        assert_eq!(world.count(0, 1, Duration::from_millis(1500)).await, 1);
    };
    LocalSet::new().run_until(run).await;
}

/// A connection passes with its sender's address, unless a cut keeps the boxes apart.
#[tokio::test]
async fn handovers() {
    let run = async {
        let world = World::open(3).await;
        let [near, far, _] = world.places[..] else { panic!("three boxes") };
        let listener = TcpListener::bind(far.own).await.expect("a free port");
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, source)) = listener.accept().await {
                assert_eq!(source.ip(), near.own.ip());
                // Whoever fetches may have gone.
                _ = stream.write_all(b"snapshot").await;
            }
        });
        let fetch = async || {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.bind(SocketAddr::new(near.own.ip(), 0)).expect("an own address");
            let mut stream = socket.connect(far.announced).await.expect("the way is open");
            let mut text = String::new();
            let read = tokio::time::timeout(SOON, stream.read_to_string(&mut text)).await;
            read.is_ok().then_some(text)
        };
        assert_eq!(fetch().await.as_deref(), Some("snapshot"));
        let cut = world.peering.cut(&[0], Direction::In);
        assert_eq!(fetch().await, None);
        world.peering.heal(cut);
        assert_eq!(fetch().await.as_deref(), Some("snapshot"));
    };
    LocalSet::new().run_until(run).await;
}
