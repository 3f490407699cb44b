//! Queries the gateways in the VM list.

use {
    crate::client::new_client,
    awc::Client,
    catkin::{
        Code, Error,
        api::{Role, VmEntry, VmState},
        types::Span,
    },
    catkin_net::{get, list_vms},
    futures_util::future::join_all,
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

const ANSWER_TIMEOUT: Span = Span::from_secs(2);

/// Client of the VM list and of the gateways in it.
pub struct Gateways {
    client: Client,
    vms: SocketAddr,
}

/// Response of one gateway.
pub struct Response<T> {
    /// Row of the gateway in the VM list.
    pub row: VmEntry,
    /// Decoded answer, or why there is none.
    pub answer: Result<T, Error>,
}

impl<T> Response<T> {
    /// Returns whether the gateway must answer. The VM list lags, so a leaving
    /// VM may have been removed already.
    pub fn is_required(&self) -> bool {
        self.row.state == VmState::Live
    }
}

impl Gateways {
    /// Creates a client that reads the VM list at an address.
    pub fn new(vms: SocketAddr) -> Self {
        Self { client: new_client(), vms }
    }

    /// Returns the HTTP client, for requests to other addresses.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Returns `Code::ListUnavailable` if the request fails.
    pub async fn list(&self) -> Result<Vec<VmEntry>, Error> {
        let list = list_vms(&self.client, self.vms, ANSWER_TIMEOUT).await;
        list.map(|list| list.vms).map_err(|e| Error::new(Code::ListUnavailable, e.to_string()))
    }

    /// Queries all gateways concurrently, each at the path for its row.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Gateways::list`].
    pub async fn query<T: DeserializeOwned>(
        &self,
        path: impl Fn(&VmEntry) -> String,
    ) -> Result<Vec<Response<T>>, Error> {
        let rows = self.list().await?.into_iter().filter(|row| row.role == Role::Entry);
        let queries = rows.map(|row| {
            let path = path(&row);
            async move { Response { answer: self.query_one(&row, &path).await, row } }
        });
        Ok(join_all(queries).await)
    }

    async fn query_one<T: DeserializeOwned>(&self, row: &VmEntry, path: &str) -> Result<T, Error> {
        let Some(admin) = row.admin else {
            return Err(Error::new(
                Code::ConnectFailed,
                "the VM list gives no admin address for this gateway",
            ));
        };
        get(&self.client, admin, path, ANSWER_TIMEOUT).await
    }
}
