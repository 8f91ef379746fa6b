//! Starts of boxes while ports are in use: by connections, by closed ones, or by the process before.

use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke_socket::bind::{self, BIND_TIMEOUT};
use hollyspoke_tests::platform::log;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::Instant;

/// An address whose ports no other test uses.
const CROWDED: SocketAddr = local(2, 0);

/// The number of ports held on [`CROWDED`], more than half of the usual range.
const HELD_PORT_COUNT: usize = 17_000;

/// Descriptors that are left for the sockets under test.
const SPARE_DESCRIPTOR_COUNT: usize = 200;

/// The number of starts beside the held ports.
const START_COUNT: usize = 500;

/// Returns a loopback address.
const fn local(host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, host)), port)
}

/// Holds ports for TCP, as far as descriptors suffice.
async fn hold_ports() -> Vec<TcpListener> {
    let mut held = Vec::new();
    while held.len() < HELD_PORT_COUNT {
        let Ok(listener) = TcpListener::bind(CROWDED).await else { break };
        held.push(listener);
    }
    if held.len() < HELD_PORT_COUNT {
        held.truncate(held.len().saturating_sub(SPARE_DESCRIPTOR_COUNT));
    }
    held
}

/// Most ports are in use for TCP: a box that lets the system choose still finds one for both
/// sockets.
#[tokio::test]
async fn crowded_ports_end_start() {
    let held = hold_ports().await;
    for start in 0..START_COUNT {
        let bound = bind::pair(CROWDED, "other boxes", &log(), UdpSocket::bind).await;
        let (listener, datagrams) = bound.unwrap_or_else(|error| {
            panic!("start {start} beside {} held ports: {error:#}", held.len())
        });
        let addresses = (listener.local_addr().ok(), datagrams.local_addr().ok());
        assert_eq!(addresses.0, addresses.1);
    }
}

/// The port that the system assigned is in use for datagrams: another one is tried.
#[tokio::test]
async fn one_port_tried() -> eyre::Result<()> {
    let ports = Cell::new(0);
    let bind_other = async |_: SocketAddr| {
        ports.set(ports.get() + 1);
        if ports.get() < 30 { Err(Error::from(ErrorKind::AddrInUse)) } else { Ok(()) }
    };
    bind::pair(local(1, 0), "other boxes", &log(), bind_other).await?;
    assert_eq!(ports.get(), 30);
    Ok(())
}

/// The process before ends a second after a box was started: the box waits for its port.
#[tokio::test]
async fn held_port_ends_start() -> eyre::Result<()> {
    let holder = TcpListener::bind(local(1, 0)).await?;
    let address = holder.local_addr()?;
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(holder);
    });
    let listener = bind::listener(address, "clients", &log()).await?;
    assert_eq!(listener.local_addr()?, address);
    Ok(())
}

/// A port that does not come free ends the start, with an error that names it.
#[tokio::test]
async fn held_port_waited_for_without_end() -> eyre::Result<()> {
    let holder = TcpListener::bind(local(1, 0)).await?;
    let address = holder.local_addr()?;
    let started = Instant::now();
    let bound = bind::listener(address, "clients", &log()).await;
    let error = format!("{:#}", bound.expect_err("the port is held"));
    assert!(error.contains(&format!("cannot bind {address} for clients")), "{error}");
    assert!(started.elapsed() < BIND_TIMEOUT + Duration::from_secs(1), "{:?}", started.elapsed());
    Ok(())
}

/// An address that is not this machine's is not tried again.
#[tokio::test]
async fn foreign_address_waited_for() {
    let foreign = SocketAddr::from(([192, 0, 2, 1], 0));
    let started = Instant::now();
    let bound = bind::listener(foreign, "clients", &log()).await;
    assert!(bound.is_err());
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}
