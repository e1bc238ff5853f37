//! TCP relay that impairs the connections passing through it.

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

/// Size of the read buffer, in bytes.
const BUFFER_LEN: usize = 16 << 10;

/// Impairment of the connections through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Impairment {
    /// No impairment.
    None,
    /// Delays each chunk of data by this many milliseconds.
    Delay(u64),
    /// Blocks all data and keeps connections open.
    Silence,
    /// Blocks data towards the target.
    SilenceThere,
    /// Blocks data from the target.
    SilenceBack,
    /// Resets all connections, including new ones.
    Reset,
}

impl Impairment {
    /// Returns whether data is blocked towards the target or, without `to_target`, from it.
    fn blocks(self, to_target: bool) -> bool {
        match self {
            Self::Silence => true,
            Self::SilenceThere => to_target,
            Self::SilenceBack => !to_target,
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// Relays connections to a target.
#[derive(Debug, Clone)]
pub(crate) struct FaultRelay {
    /// Address to connect to instead of the target's.
    pub(crate) address: SocketAddr,
    impairment: watch::Sender<Impairment>,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl FaultRelay {
    /// Starts a relay. Without a target it resets connections.
    ///
    /// # Errors
    /// Returns the errors of the listener's socket.
    pub(crate) fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (impairment, impairments) = watch::channel(Impairment::None);
        let target = Arc::new(Mutex::new(target));
        let shared_target = Arc::clone(&target);
        spawn(async move {
            let listener =
                TcpListener::from_std(listener).expect("register the listener with the runtime");
            while let Ok((client, _)) = listener.accept().await {
                let target = *lock(&shared_target);
                tokio::spawn(relay_connection(client, target, impairments.clone()));
            }
        });
        Ok(Self { address, impairment, target })
    }

    /// Sets the impairment of existing and later connections.
    pub(crate) fn set_impairment(&self, impairment: Impairment) {
        self.impairment.send_replace(impairment);
    }

    /// Sets the target of later connections.
    pub(crate) fn set_target(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }
}

/// Relays one connection. While data to the target is blocked, connecting to it waits.
async fn relay_connection(
    client: TcpStream,
    target: Option<SocketAddr>,
    mut impairments: watch::Receiver<Impairment>,
) {
    let current = impairments.wait_for(|value| !value.blocks(true)).await.map(|value| *value);
    let Some(target) = target.filter(|_| current.is_ok_and(|value| value != Impairment::Reset))
    else {
        return reset_on_close(&client);
    };
    let Ok(upstream) = TcpStream::connect(target).await else { return reset_on_close(&client) };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_in, client_out) = client.into_split();
    let (target_in, target_out) = upstream.into_split();
    let outbound = forward(client_in, target_out, impairments.clone(), true);
    let inbound = forward(target_in, client_out, impairments.clone(), false);
    tokio::select! {
        () = async { tokio::join!(outbound, inbound); } => {}
        _ = impairments.wait_for(|value| *value == Impairment::Reset) => {}
    }
}

/// Makes closing the connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Forwards one direction of a connection.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut impairments: watch::Receiver<Impairment>,
    to_target: bool,
) {
    let mut buffer = vec![0; BUFFER_LEN];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let Ok(impairment) =
            impairments.wait_for(|value| !value.blocks(to_target)).await.map(|value| *value)
        else {
            break;
        };
        if let Impairment::Delay(ms) = impairment {
            sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    // The receiver must see the end of the stream.
    let _ = to.shutdown().await;
}
