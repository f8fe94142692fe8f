//! A loopback proxy for one link, which can impair it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};

/// Condition of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// All bytes pass.
    Open,
    /// All bytes pass after this delay.
    Slow(Duration),
    /// No bytes pass; those sent meanwhile are delivered afterwards.
    Silent,
    /// Requests pass; responses are held.
    Mute,
    /// Existing and new connections are reset.
    Reset,
}

/// Interval at which a change of mode is detected.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

/// A proxy, which closes its port on drop.
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    _accepting: smol::Task<()>,
}

impl Proxy {
    pub(crate) async fn start(upstream: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let mode = Arc::new(Mutex::new(Mode::Open));
        let accepting = smol::spawn(accept(listener, upstream, Arc::clone(&mode)));
        Ok(Proxy { addr, mode, _accepting: accepting })
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, mode: Arc<Mutex<Mode>>) {
    while let Ok((caller, _)) = listener.accept().await {
        smol::spawn(forward(caller, upstream, Arc::clone(&mode))).detach();
    }
}

/// Forwards one connection until either side closes it, or it is reset.
async fn forward(caller: TcpStream, upstream: SocketAddr, mode: Arc<Mutex<Mode>>) {
    let Ok(server) = TcpStream::connect(upstream).await else { return reset(&caller) };
    for stream in [&caller, &server] {
        // Without this option small messages wait for acknowledgements, a delay that is not the link's.
        let _ = stream.set_nodelay(true);
    }
    let requests = forward_direction(caller.clone(), server.clone(), Direction::Request, &mode);
    let responses = forward_direction(server.clone(), caller.clone(), Direction::Response, &mode);
    if requests.or(responses).await == ConnectionEnd::Reset {
        reset(&caller);
        reset(&server);
    }
}

#[derive(Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

async fn forward_direction(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    mode: &Mutex<Mode>,
) -> ConnectionEnd {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let read = async { from.read(&mut buf).await.unwrap_or(0) };
        let reset = async {
            wait_reset(mode).await;
            usize::MAX
        };
        let n = match read.or(reset).await {
            0 => return ConnectionEnd::Closed,
            usize::MAX => return ConnectionEnd::Reset,
            n => n,
        };
        if !wait_passable(direction, mode).await {
            return ConnectionEnd::Reset;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return ConnectionEnd::Closed;
        }
    }
}

/// Waits until bytes may pass. Returns `false` if the connection is reset instead.
async fn wait_passable(direction: Direction, mode: &Mutex<Mode>) -> bool {
    loop {
        let now = *mode.lock().expect("no holder panics");
        match now {
            Mode::Open => return true,
            Mode::Slow(by) => {
                smol::Timer::after(by).await;
                return true;
            }
            Mode::Mute if direction == Direction::Request => return true,
            Mode::Silent | Mode::Mute => {
                smol::Timer::after(POLL_INTERVAL).await;
            }
            Mode::Reset => return false,
        }
    }
}

async fn wait_reset(mode: &Mutex<Mode>) {
    while *mode.lock().expect("no holder panics") != Mode::Reset {
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    // Fails only if the connection is closed already.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
