//! Starting HTTP services on a free port.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use xitca_web::HttpServer;
use xitca_web::body::Body;
use xitca_web::body::RequestBody;
use xitca_web::bytes::Bytes;
use xitca_web::http::Request;
use xitca_web::http::RequestExt;
use xitca_web::http::Response;
use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

/// `Running` is a started HTTP service; it stops when this is dropped.
pub struct Running {
    address: SocketAddr,
    stop: Box<dyn Fn() + Send + Sync>,
}

impl Running {
    /// Gets the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl fmt::Debug for Running {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        (self.stop)();
    }
}

/// Starts a service on a free port of 127.0.0.1, with one worker thread.
///
/// # Errors
/// Fails if no port can be bound.
pub fn start<S, B>(service: S) -> io::Result<Running>
where
    S: Service + Send + Sync + 'static,
    S::Response:
        ReadyService + Service<Request<RequestExt<RequestBody>>, Response = Response<B>> + 'static,
    S::Error: fmt::Debug,
    <S::Response as Service<Request<RequestExt<RequestBody>>>>::Error: fmt::Debug,
    B: Body<Data = Bytes> + 'static,
    B::Error: fmt::Debug + 'static,
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let mut server =
        HttpServer::serve(service).worker_threads(1).disable_signal().listen(listener)?.run();
    let handle = server.handle()?;
    // The server owns runtimes, which may not be dropped by a task of another runtime.
    std::thread::Builder::new().name("stand-in".to_owned()).spawn(move || server.wait())?;
    Ok(Running { address, stop: Box::new(move || handle.stop(false)) })
}
