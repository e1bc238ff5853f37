//! A relay on loopback that harms the connections it carries.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::lock::lock;
use crate::platform::spawn;

/// Bytes read at once.
const CHUNK: usize = 16 << 10;

/// What a relay does to what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Impairment {
    /// Nothing.
    None,
    /// Holds each piece up for so many milliseconds.
    Delay(u64),
    /// Nothing passes, and connections stay open.
    Silence,
    /// Nothing passes towards the target.
    SilenceThere,
    /// Nothing passes from the target back.
    SilenceBack,
    /// Breaks all connections, and new ones.
    Reset,
}

impl Impairment {
    fn silences(self, there: bool) -> bool {
        match self {
            Self::Silence => true,
            Self::SilenceThere => there,
            Self::SilenceBack => !there,
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// Carries connections to one address.
#[derive(Debug, Clone)]
pub(crate) struct FaultRelay {
    /// Address to dial instead of the target's.
    pub(crate) address: SocketAddr,
    harm: watch::Sender<Impairment>,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl FaultRelay {
    /// Starts a relay; without a target it breaks connections off.
    ///
    /// # Errors
    /// Those of the socket.
    pub(crate) fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (harm, harms) = watch::channel(Impairment::None);
        let target = Arc::new(Mutex::new(target));
        let shared = Arc::clone(&target);
        spawn(async move {
            let listener = TcpListener::from_std(listener).expect("a listener that does not block");
            while let Ok((near, _)) = listener.accept().await {
                let target = *lock(&shared);
                tokio::spawn(carry(near, target, harms.clone()));
            }
        });
        Ok(Self { address, harm, target })
    }

    /// Sets what happens to what passes from now on.
    pub(crate) fn set_impairment(&self, harm: Impairment) {
        self.harm.send_replace(harm);
    }

    /// Sets where later connections go.
    pub(crate) fn set_target(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }
}

/// Carries one connection. One that is dialled in silence waits for its end.
async fn carry(
    near: TcpStream,
    target: Option<SocketAddr>,
    mut harms: watch::Receiver<Impairment>,
) {
    let open = harms.wait_for(|harm| !harm.silences(true)).await.map(|harm| *harm);
    let Some(target) = target.filter(|_| open.is_ok_and(|harm| harm != Impairment::Reset)) else {
        return reset(&near);
    };
    let Ok(far) = TcpStream::connect(target).await else { return reset(&near) };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = pump(near_in, far_out, harms.clone(), true);
    let back = pump(far_in, near_out, harms.clone(), false);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        _ = harms.wait_for(|harm| *harm == Impairment::Reset) => {}
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harms: watch::Receiver<Impairment>,
    there: bool,
) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let Ok(harm) = harms.wait_for(|harm| !harm.silences(there)).await.map(|harm| *harm) else {
            break;
        };
        if let Impairment::Delay(ms) = harm {
            sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The end of one direction has to reach the other side as well.
    let _ = to.shutdown().await;
}
