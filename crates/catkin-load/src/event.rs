//! Events of an experiment: faults and changes of the VM list.

use {
    awc::Client,
    catkin::{
        Code, Error,
        api::{VmEntry, path},
        types::Span,
    },
    catkin_standin::{PlatformFaults, TargetFaults, VmRemoval},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

const EVENT_TIMEOUT: Span = Span::from_secs(2);

/// An event with its time and address. Exactly one of the actions is set.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Time since the start of the experiment at which the event is sent.
    pub at: Span,
    /// Address of the stand-in.
    pub addr: SocketAddr,
    /// Replaces the faults of a target.
    pub target: Option<TargetFaults>,
    /// Replaces the faults of the log service and the VM list.
    pub platform: Option<PlatformFaults>,
    /// Adds or replaces a row of the VM list.
    pub list: Option<VmEntry>,
    /// Removes a row of the VM list.
    pub remove: Option<VmRemoval>,
    /// Asks a target to drain.
    #[serde(default)]
    pub drain: bool,
}

/// The action of an event.
#[derive(Clone, Debug)]
pub enum Action<'a> {
    /// Replaces the faults of a target.
    Target(&'a TargetFaults),
    /// Replaces the faults of the log service and the VM list.
    Platform(&'a PlatformFaults),
    /// Adds or replaces a row of the VM list.
    List(&'a VmEntry),
    /// Removes a row of the VM list.
    Remove(&'a VmRemoval),
    /// Asks a target to drain.
    Drain,
}

impl Event {
    /// Returns the action that is set.
    ///
    /// # Errors
    ///
    /// `Code::BadValue` unless exactly one action is set.
    pub fn action(&self) -> Result<Action<'_>, Error> {
        let actions = [
            self.target.as_ref().map(Action::Target),
            self.platform.as_ref().map(Action::Platform),
            self.list.as_ref().map(Action::List),
            self.remove.as_ref().map(Action::Remove),
            self.drain.then_some(Action::Drain),
        ];
        let mut set = actions.into_iter().flatten();
        match (set.next(), set.next()) {
            (Some(action), None) => Ok(action),
            _ => Err(Error::new(Code::BadValue, "set one of target, platform, list, remove and drain")),
        }
    }

    /// Sends the event to its stand-in over HTTP.
    ///
    /// # Errors
    ///
    /// `Code::OutcomeUnknown` if the stand-in is unreachable, refuses the event
    /// or does not answer within 2 s; `Code::BadValue` unless exactly one action
    /// is set.
    pub async fn send(&self, client: &Client) -> Result<(), Error> {
        match self.action()? {
            Action::Target(faults) => self.post(client, "/faults", faults).await,
            Action::Platform(faults) => self.post(client, "/faults", faults).await,
            Action::List(row) => self.post(client, path::VMS, row).await,
            Action::Remove(removal) => self.post(client, "/vms/remove", removal).await,
            Action::Drain => self.post(client, path::DRAIN, &()).await,
        }
    }

    async fn post<T: Serialize>(&self, client: &Client, path: &str, body: &T) -> Result<(), Error> {
        let fail =
            |detail: String| Error::new(Code::OutcomeUnknown, format!("{}{path}: {detail}", self.addr));
        let request = client.post(format!("http://{}{path}", self.addr)).timeout(EVENT_TIMEOUT.as_duration());
        let answer = request.send_json(body).await.map_err(|e| fail(e.to_string()))?;
        if answer.status().is_success() { Ok(()) } else { Err(fail(answer.status().to_string())) }
    }
}
