//! Client of the log service of the platform.

use {
    crate::json,
    awc::Client,
    base64::{Engine, prelude::BASE64_STANDARD},
    catkin::{
        Code, Error,
        api::{Append, Appended, RecordPage, path},
        types::{Offset, Span},
    },
    std::net::SocketAddr,
};

/// Time that a read may take beyond the wait for the first record.
const READ_GRACE: Span = Span::from_secs(1);

/// Client of the log service.
#[derive(Clone)]
pub struct LogClient {
    client: Client,
    addr: SocketAddr,
}

/// A page of log records.
#[derive(Clone, Debug)]
pub struct LogPage {
    /// Oldest offset that the log retains, which may be before the first of
    /// `records`.
    pub first: Offset,
    /// End of the log: the offset that the next append gets.
    pub head: Offset,
    /// Records with their offsets, in ascending order.
    pub records: Vec<(Offset, Vec<u8>)>,
}

impl LogClient {
    /// Creates a client of the log service at an address.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// `Code::LogUnavailable` if nothing was appended, `Code::AppendUnknown`
    /// if the record may have been appended.
    pub async fn append(&self, record: &[u8], timeout: Span) -> Result<Offset, Error> {
        let body = Append { data: BASE64_STANDARD.encode(record) };
        let answer: Result<Appended, Error> =
            json::post(&self.client, self.addr, path::LOG, &body, timeout).await;
        match answer {
            Ok(appended) => Ok(appended.offset),
            Err(e) if matches!(e.code(), Code::ConnectFailed | Code::BadRequest) => {
                Err(Error::new(Code::LogUnavailable, e.to_string()))
            }
            Err(e) => Err(Error::new(Code::AppendUnknown, e.to_string())),
        }
    }

    /// Reads up to `max` records from an offset on; waits up to `wait` for the
    /// first.
    ///
    /// # Errors
    ///
    /// `Code::LogUnavailable` if there is no valid answer.
    pub async fn read(&self, from: Offset, max: u32, wait: Span) -> Result<LogPage, Error> {
        let path = format!("{}?from={from}&wait_ms={}&max={max}", path::LOG, wait.as_millis());
        let page: RecordPage = json::get(&self.client, self.addr, &path, wait + READ_GRACE)
            .await
            .map_err(|e| Error::new(Code::LogUnavailable, e.to_string()))?;
        let decode = |data: &str| {
            BASE64_STANDARD.decode(data).map_err(|e| Error::new(Code::LogUnavailable, e.to_string()))
        };
        let records = page.records.iter().map(|entry| Ok((entry.offset, decode(&entry.data)?)));
        Ok(LogPage { first: page.first, head: page.head, records: records.collect::<Result<_, Error>>()? })
    }
}
