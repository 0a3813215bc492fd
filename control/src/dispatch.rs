use laburnumdeal_model::{InstanceId, Submission, Term};

use crate::append::Appending;
use crate::calls_seen::Seen;
use crate::election::VoteRequest;
use crate::install::SnapshotPart;
use crate::proposals::unknown;
use crate::{
    Committed, ControlReply, ControlRequest, Disk, NotRun, PeerLink, Replica, SubmitError,
};

impl<L: PeerLink, D: Disk> Replica<L, D> {
    /// Carries out a request of another replica.
    pub(crate) async fn answer(&self, from: InstanceId, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Identify => ControlReply::Identity {
                identity: self.core.identity,
                cluster: self.core.volatile().cluster(),
                region: self.core.settings.region.clone(),
            },
            ControlRequest::Join(candidate) => self.core.on_join(candidate),
            ControlRequest::Vote {
                header,
                pre_vote,
                transfer,
                last_index,
                last_term,
            } => {
                let request = VoteRequest {
                    header,
                    pre_vote,
                    transfer,
                    last_index,
                    last_term,
                };
                self.core.on_vote(request).await
            }
            ControlRequest::Append {
                header,
                previous_index,
                previous_term,
                entries,
                commit_index,
            } => {
                let appending = Appending {
                    header,
                    previous_index,
                    previous_term,
                    entries,
                    commit_index,
                };
                self.core.on_append(from, appending).await
            }
            ControlRequest::Snapshot {
                header,
                index,
                total_bytes,
                offset,
                bytes,
                digest,
            } => {
                let part = SnapshotPart {
                    header,
                    index,
                    total_bytes,
                    offset,
                    bytes,
                    digest,
                };
                self.core.on_snapshot(from, part).await
            }
            ControlRequest::TakeOver { header } => self.core.on_take_over(header).await,
            ControlRequest::Submit {
                term,
                call,
                submission,
            } => ControlReply::Submitted(self.on_submit(term, (from, call), submission).await),
            ControlRequest::ReadIndex => {
                let volatile = self.core.volatile();
                let index = volatile.commit_index;
                ControlReply::ReadIndex(self.core.has_lease(&volatile).then_some(index))
            }
            ControlRequest::Records { from_index } => self.core.on_records(from_index).await,
            ControlRequest::Replace { old, new } => {
                ControlReply::Replaced(self.core.replace_here(old, new).await)
            }
        }
    }

    /// Submits what another replica passed on.
    async fn on_submit(
        &self,
        term: Term,
        call: (InstanceId, u64),
        submission: Submission,
    ) -> Result<Committed, SubmitError> {
        let seen = {
            let mut volatile = self.core.volatile();
            let leads = volatile.leads(term);
            volatile.calls_seen.note(term, leads, call)
        };
        match seen {
            Seen::New => self.submit_here(submission).await,
            Seen::Never => Err(NotRun::NotLeader.into()),
            Seen::Perhaps => Err(unknown(&submission, "the message may have come twice")),
        }
    }
}
