//! Accepts callers' connections.

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

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds the callers' socket.
///
/// The library writes head and body of a long reply separately. By default the
/// operating system would delay the second write until the caller's delayed
/// acknowledgement, about 40 ms. Accepted connections inherit `TCP_NODELAY`
/// from the listening socket, on which `tokio` can set it.
pub(crate) fn bind(runtime: &Handle, address: SocketAddr) -> Result<TcpListener, RunError> {
    let _guard = runtime.enter();
    let bind_error = |e: std::io::Error| RunError::Bind {
        step: "listen-http",
        address: address.to_string(),
        reason: e.to_string(),
    };
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(bind_error)?;
    socket.set_reuseaddr(true).map_err(bind_error)?;
    socket.set_nodelay(true).map_err(bind_error)?;
    socket.bind(address).map_err(bind_error)?;
    let listener = socket.listen(BACKLOG).map_err(bind_error)?;
    let listener = listener.into_std().map_err(bind_error)?;
    listener.set_nonblocking(false).map_err(bind_error)?;
    Ok(listener)
}

/// Starts the threads that serve callers.
pub(crate) fn serve(listener: TcpListener, handler: &RequestHandler) -> Result<(), RunError> {
    let local = listener.local_addr();
    let address = local.as_ref().map(ToString::to_string).unwrap_or_default();
    let bind_error =
        |reason: String| RunError::Bind { step: "serve-http", address: address.clone(), reason };
    let server = Server::from_listener(listener, None).map_err(|e| bind_error(e.to_string()))?;
    let server = Arc::new(server);
    let local = local.map_err(|e| bind_error(e.to_string()))?;
    let waker = Arc::new(ThreadWaker::start(local)?);
    let readers = handler.body_readers();
    for _ in 0..handler.settings.threads {
        let (server, handler, readers) = (Arc::clone(&server), handler.clone(), readers.clone());
        let waker = Arc::clone(&waker);
        let serve_requests = move || {
            for request in server.incoming_requests() {
                waker.record_caller(request.remote_addr());
                handler.handle_request(request, &readers);
            }
            // The library's accept thread ends at its first error, for example
            // when no file descriptors are left. Callers can no longer connect
            // while peers still consider this host live, so it drains
            // and ends.
            log::error!("event=listener_lost step=accept");
            handler.inbox.post(Input::Stop);
        };
        let thread = thread::Builder::new().name("http".to_owned());
        thread
            .spawn(serve_requests)
            .map_err(|source| RunError::Thread { step: "serve-http", source })?;
    }
    Ok(())
}
