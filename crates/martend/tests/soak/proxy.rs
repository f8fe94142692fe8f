//! A proxy on loopback through which one link goes, and which can spoil it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Nothing.
    Open,
    /// Everything comes later by this.
    Slow(Duration),
    /// Nothing passes; what was sent meanwhile is delivered afterwards.
    Silent,
    /// Requests pass, answers are held.
    Mute,
    /// Connections are reset, and new ones too.
    Reset,
}

/// A change of mode is seen within this.
const LOOK_EVERY: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// A proxy; dropping it closes its port.
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

    pub(crate) fn set(&self, mode: Mode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, mode: Arc<Mutex<Mode>>) {
    while let Ok((caller, _)) = listener.accept().await {
        smol::spawn(carry(caller, upstream, Arc::clone(&mode))).detach();
    }
}

/// Carries one connection until either side closes it, or it is reset.
async fn carry(caller: TcpStream, upstream: SocketAddr, mode: Arc<Mutex<Mode>>) {
    let Ok(server) = TcpStream::connect(upstream).await else { return reset(&caller) };
    for stream in [&caller, &server] {
        // Without it small messages wait for acknowledgements; the proxy is to add no delay of its own.
        let _ = stream.set_nodelay(true);
    }
    let requests = pump(caller.clone(), server.clone(), Direction::Request, &mode);
    let answers = pump(server.clone(), caller.clone(), Direction::Answer, &mode);
    if requests.or(answers).await == Ended::Reset {
        reset(&caller);
        reset(&server);
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Ended {
    Closed,
    Reset,
}

async fn pump(mut from: TcpStream, mut to: TcpStream, direction: Direction, mode: &Mutex<Mode>) -> Ended {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let read = async { from.read(&mut buf).await.unwrap_or(0) };
        let reset = async {
            until_reset(mode).await;
            usize::MAX
        };
        let n = match read.or(reset).await {
            0 => return Ended::Closed,
            usize::MAX => return Ended::Reset,
            n => n,
        };
        if !may_pass(direction, mode).await {
            return Ended::Reset;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return Ended::Closed;
        }
    }
}

/// Waits until bytes may pass; `false` if the connection is reset instead.
async fn may_pass(direction: Direction, mode: &Mutex<Mode>) -> bool {
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
                smol::Timer::after(LOOK_EVERY).await;
            }
            Mode::Reset => return false,
        }
    }
}

async fn until_reset(mode: &Mutex<Mode>) {
    while *mode.lock().expect("no holder panics") != Mode::Reset {
        smol::Timer::after(LOOK_EVERY).await;
    }
}

/// Closes a connection in such a way that the other side sees a reset.
fn reset(stream: &TcpStream) {
    // If it is closed already there is nothing to reset.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
