//! Starts the stand-ins of one settings file.

use {
    crate::{platform::Platform, target::Target},
    actix_http::{Request, Response, body::BoxBody},
    actix_rt::task::JoinHandle,
    catkin::{Error, settings::Standin},
    catkin_net::{Connections, listen, serve_limited},
    std::{future::Future, net::SocketAddr, rc::Rc},
};

/// Running stand-ins. They stop when this is dropped.
pub struct RunningStandins {
    /// Address of the log service and the VM list, if the settings have a
    /// platform.
    pub platform: Option<SocketAddr>,
    /// Addresses of the targets in the order of the settings.
    pub targets: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<Result<(), Error>>>,
}

impl Drop for RunningStandins {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts the stand-ins on the current thread.
///
/// # Errors
///
/// `Code::BadValue` if an address can't be bound, `Code::UnreadableFile` if a
/// journal can't be opened.
pub async fn start(settings: &Standin) -> Result<RunningStandins, Error> {
    let mut running = RunningStandins { platform: None, targets: Vec::new(), tasks: Vec::new() };
    if let Some(platform) = &settings.platform {
        let service = Rc::new(Platform::new(platform));
        let connections = service.connections.clone();
        let handler = move |request| service.clone().handle(request);
        running.platform = Some(running.spawn(platform.addr, connections, handler).await?);
    }
    for target in &settings.targets {
        let service = Rc::new(Target::new(target)?);
        let connections = service.connections.clone();
        let handler = move |request| service.clone().handle(request);
        let addr = running.spawn(target.addr, connections, handler).await?;
        running.targets.push(addr);
    }
    Ok(running)
}

impl RunningStandins {
    /// Binds an address, serves it with a handler and returns the bound
    /// address.
    async fn spawn<F, Fut>(
        &mut self,
        addr: SocketAddr,
        connections: Connections,
        handler: F,
    ) -> Result<SocketAddr, Error>
    where
        F: Fn(Request) -> Fut + Clone + 'static,
        Fut: Future<Output = Response<BoxBody>> + 'static,
    {
        let listener = listen(addr).await?;
        let bound = listener.local_addr().unwrap_or(addr);
        self.tasks.push(actix_rt::spawn(serve_limited(listener, connections, handler)));
        Ok(bound)
    }
}
