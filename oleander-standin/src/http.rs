//! A launcher for HTTP services on free ports.

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

/// `RunningServer` is a started HTTP service, which stops when the value is dropped.
pub struct RunningServer {
    address: SocketAddr,
    stop: Box<dyn Fn() + Send + Sync>,
}

impl RunningServer {
    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl fmt::Debug for RunningServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        (self.stop)();
    }
}

/// Starts a service on a free port of 127.0.0.1, with one worker thread.
///
/// # Errors
/// Returns the error of the operating system if no port can be bound or no thread can be started.
pub fn start<S, B>(service: S) -> io::Result<RunningServer>
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
    // The server owns Tokio runtimes, which must not be dropped inside a task of another runtime,
    // so it runs on a thread of its own.
    std::thread::Builder::new().name("stand-in".to_owned()).spawn(move || server.wait())?;
    Ok(RunningServer { address, stop: Box::new(move || handle.stop(false)) })
}
