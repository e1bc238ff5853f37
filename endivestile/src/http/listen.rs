//! Listens for callers.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use tiny_http::Server;
use tokio::net::TcpSocket;
use tokio::runtime::Handle;

use super::RequestHandler;
use super::thread_waker::ThreadWaker;
use crate::error::RunError;
use crate::inbox::Input;

/// Connections that may wait for the accept thread.
const BACKLOG: u32 = 1_024;

/// Opens the callers' socket.
///
/// The library writes head and body of a long reply in two pieces; with the
/// kernel's default the second would wait for the caller's delayed
/// acknowledgement, some 40 ms. Accepted connections inherit the option that
/// prevents this from the listening socket, and `tokio` can set it there.
pub(crate) fn bind(runtime: &Handle, address: SocketAddr) -> Result<TcpListener, RunError> {
    let _context = runtime.enter();
    let failed = |e: std::io::Error| RunError::Bind {
        step: "listen-http",
        address: address.to_string(),
        reason: e.to_string(),
    };
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.set_nodelay(true).map_err(failed)?;
    socket.bind(address).map_err(failed)?;
    let listener = socket.listen(BACKLOG).map_err(failed)?;
    let listener = listener.into_std().map_err(failed)?;
    listener.set_nonblocking(false).map_err(failed)?;
    Ok(listener)
}

/// Serves callers on threads of its own.
pub(crate) fn serve(listener: TcpListener, handler: &RequestHandler) -> Result<(), RunError> {
    let local = listener.local_addr();
    let address = local.as_ref().map(ToString::to_string).unwrap_or_default();
    let failed =
        |reason: String| RunError::Bind { step: "serve-http", address: address.clone(), reason };
    let server = Server::from_listener(listener, None).map_err(|e| failed(e.to_string()))?;
    let server = Arc::new(server);
    let local = local.map_err(|e| failed(e.to_string()))?;
    let waker = Arc::new(ThreadWaker::start(local)?);
    let readers = handler.body_readers();
    for _ in 0..handler.settings.threads {
        let (server, handler, readers) = (Arc::clone(&server), handler.clone(), readers.clone());
        let waker = Arc::clone(&waker);
        let take = move || {
            for request in server.incoming_requests() {
                waker.record_caller(request.remote_addr());
                handler.handle_request(request, &readers);
            }
            // The library's accept thread ends at its first error, such as a
            // process out of descriptors. Nobody could connect any more while
            // the host still looked alive to its peers; so it drains and ends.
            log::error!("event=listener_lost step=accept");
            handler.inbox.post(Input::Stop);
        };
        let thread = thread::Builder::new().name("http".to_owned());
        thread.spawn(take).map_err(|source| RunError::Thread { step: "serve-http", source })?;
    }
    Ok(())
}
