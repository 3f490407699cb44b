//! Asks the gateways of the VM list.

use {
    crate::client::client,
    awc::Client,
    catkin::{
        Code, Error,
        api::{Life, Listed, Role},
        types::Span,
    },
    catkin_net::{get, list_vms},
    futures_util::future::join_all,
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

const ANSWER_LIMIT: Span = Span::from_secs(2);

/// Client of the VM list and of the gateways in it.
pub struct Gateways {
    client: Client,
    vms: SocketAddr,
}

/// What one gateway said.
pub struct Reply<T> {
    /// Its row of the VM list.
    pub row: Listed,
    /// Its answer.
    pub answer: Result<T, Error>,
}

impl<T> Reply<T> {
    /// Returns whether the gateway must answer: the list lags, so a leaving
    /// VM may have gone already.
    pub fn is_required(&self) -> bool {
        self.row.state == Life::Live
    }
}

impl Gateways {
    /// Makes a client of the VM list at an address.
    pub fn new(vms: SocketAddr) -> Self {
        Self { client: client(), vms }
    }

    /// Returns the HTTP client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// `Code::ListUnavailable` if there is no answer.
    pub async fn list(&self) -> Result<Vec<Listed>, Error> {
        let list = list_vms(&self.client, self.vms, ANSWER_LIMIT).await;
        list.map(|list| list.vms).map_err(|e| Error::new(Code::ListUnavailable, e.to_string()))
    }

    /// Asks all gateways at the same time.
    ///
    /// # Errors
    ///
    /// As [`Gateways::list`].
    pub async fn ask<T: DeserializeOwned>(
        &self,
        path: impl Fn(&Listed) -> String,
    ) -> Result<Vec<Reply<T>>, Error> {
        let rows = self.list().await?.into_iter().filter(|row| row.role == Role::Entry);
        let asks = rows.map(|row| {
            let path = path(&row);
            async move { Reply { answer: self.ask_one(&row, &path).await, row } }
        });
        Ok(join_all(asks).await)
    }

    async fn ask_one<T: DeserializeOwned>(&self, row: &Listed, path: &str) -> Result<T, Error> {
        let Some(admin) = row.admin else {
            return Err(Error::new(Code::ConnectFailed, "the VM list has no admin address"));
        };
        get(&self.client, admin, path, ANSWER_LIMIT).await
    }
}
