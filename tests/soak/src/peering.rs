//! The simulated network between boxes: datagrams can be lost, duplicated or delayed, and boxes cut
//! off from each other, for handovers too.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// The maximum size of a UDP datagram over IPv4, in bytes.
const LONGEST_DATAGRAM: usize = 65_507;

/// The maximum delay of a datagram: several heartbeats, so that later ones overtake it.
const LATEST: Duration = Duration::from_millis(1200);

/// The addresses of a box for other boxes.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// The address it listens on.
    pub own: SocketAddr,
    /// The announced address, where this network listens in its place.
    pub announced: SocketAddr,
}

/// The percentages of datagrams that are not delivered normally.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Disorder {
    /// The percentage that is lost.
    pub lost: u64,
    /// The percentage that is duplicated.
    pub doubled: u64,
    /// The percentage that is delayed by up to 1.2 s, so that later ones arrive first.
    pub late: u64,
}

/// The direction of a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Neither side receives anything from the other.
    Both,
    /// What the boxes that are cut off send does not arrive.
    Out,
    /// What is sent to the boxes that are cut off does not arrive.
    In,
}

/// A set of boxes that are cut off from all others, but not from each other.
#[derive(Debug, Clone)]
struct Cut {
    /// The number of the cut.
    number: u64,
    /// The boxes.
    boxes: BTreeSet<usize>,
    /// The direction that is cut.
    direction: Direction,
}

impl Cut {
    /// Returns whether it blocks what one box sends to another.
    fn parts(&self, from: usize, to: usize) -> bool {
        let (is_from, is_to) = (self.boxes.contains(&from), self.boxes.contains(&to));
        match self.direction {
            Direction::Both => is_from != is_to,
            Direction::Out => is_from && !is_to,
            Direction::In => is_to && !is_from,
        }
    }
}

/// The network between all boxes.
#[derive(Debug)]
pub struct Peering {
    /// The boxes' addresses, by number.
    places: Vec<Place>,
    /// How datagrams are disturbed.
    disorder: Cell<Disorder>,
    /// The active cuts.
    cuts: RefCell<Vec<Cut>>,
    /// The number of the next cut.
    next_cut: Cell<u64>,
}

impl Peering {
    /// Opens the network. Must run inside of a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// If an announced address is already in use.
    pub async fn open(places: Vec<Place>) -> std::io::Result<Rc<Peering>> {
        let count = places.len();
        let peering = Rc::new(Peering {
            places,
            disorder: Cell::default(),
            cuts: RefCell::default(),
            next_cut: Cell::new(0),
        });
        for to in 0..count {
            let announced = peering.places[to].announced;
            let datagrams = UdpSocket::bind(announced).await?;
            let handovers = TcpListener::bind(announced).await?;
            tokio::task::spawn_local(peering.clone().pass_datagrams(datagrams, to));
            tokio::task::spawn_local(peering.clone().pass_handovers(handovers, to));
        }
        Ok(peering)
    }

    /// Sets how datagrams are disturbed.
    pub fn set(&self, disorder: Disorder) {
        self.disorder.set(disorder);
    }

    /// Cuts boxes off from the others; returns the cut's number.
    pub fn cut(&self, boxes: &[usize], direction: Direction) -> u64 {
        let number = self.next_cut.get();
        self.next_cut.set(number + 1);
        let boxes = boxes.iter().copied().collect();
        self.cuts.borrow_mut().push(Cut { number, boxes, direction });
        number
    }

    /// Removes a cut.
    pub fn heal(&self, number: u64) {
        self.cuts.borrow_mut().retain(|it| it.number != number);
    }

    /// Returns whether a cut blocks what one box sends to another.
    fn parts(&self, from: usize, to: usize) -> bool {
        self.cuts.borrow().iter().any(|it| it.parts(from, to))
    }

    /// Returns the number of the box with an IP address.
    fn sender(&self, ip: IpAddr) -> Option<usize> {
        self.places.iter().position(|it| it.own.ip() == ip)
    }

    /// Forwards the datagrams for a box until the run is over.
    async fn pass_datagrams(self: Rc<Peering>, socket: UdpSocket, to: usize) {
        let socket = Rc::new(socket);
        let mut random = Pcg64Mcg::from_os_rng();
        let mut buffer = vec![0; LONGEST_DATAGRAM];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(from) = self.sender(source.ip()) else { continue };
            let Disorder { lost, doubled, late } = self.disorder.get();
            let mut draws = |share: u64| random.random_range(0..100) < share;
            if self.parts(from, to) || draws(lost) {
                continue;
            }
            let own = self.places[to].own;
            let copies = if draws(doubled) { 2 } else { 1 };
            for _ in 0..copies {
                if draws(late) {
                    let (socket, bytes) = (socket.clone(), buffer[..length].to_vec());
                    let pause = LATEST.mul_f64(Pcg64Mcg::from_os_rng().random());
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(pause).await;
                        // The error means that the box is down.
                        _ = socket.send_to(&bytes, own).await;
                    });
                } else {
                    // The error means that the box is down.
                    _ = socket.send_to(&buffer[..length], own).await;
                }
            }
        }
    }

    /// Forwards the handover connections to a box until the run is over.
    async fn pass_handovers(self: Rc<Peering>, listener: TcpListener, to: usize) {
        loop {
            let Ok((near, source)) = listener.accept().await else { continue };
            let Some(from) = self.sender(source.ip()) else { continue };
            let is_apart = self.parts(from, to) || self.parts(to, from);
            tokio::task::spawn_local(carry(near, self.places[from], self.places[to], is_apart));
        }
    }
}

/// Forwards one connection between boxes; carries nothing if a cut separates them.
async fn carry(mut near: TcpStream, from: Place, to: Place, is_apart: bool) {
    if is_apart {
        let mut bytes = [0; 64];
        while let Ok(1..) = near.read(&mut bytes).await {}
        return;
    }
    let Ok(mut far) = connect(from.own.ip(), to.own).await else { return };
    // The fetching box sees a connection that ends too early.
    _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
}

/// Connects to a box from another one's IP address.
async fn connect(from: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}
