use laburnumdeal_model::{InstanceId, Submission, Term};

use crate::append::AppendRequest;
use crate::call_deduplicator::CallStatus;
use crate::election::VoteRequest;
use crate::proposals::unknown_outcome;
use crate::snapshot_install::SnapshotChunk;
use crate::{
    Committed, ControlReply, ControlRequest, Disk, NotRun, PeerLink, Replica, SubmitError,
};

impl<L: PeerLink, D: Disk> Replica<L, D> {
    /// Dispatches a request of another replica to its handler.
    pub(crate) async fn dispatch(&self, from: InstanceId, request: ControlRequest) -> ControlReply {
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
                let request = AppendRequest {
                    header,
                    previous_index,
                    previous_term,
                    entries,
                    commit_index,
                };
                self.core.on_append(from, request).await
            }
            ControlRequest::Snapshot {
                header,
                index,
                total_bytes,
                offset,
                bytes,
                digest,
            } => {
                let chunk = SnapshotChunk {
                    header,
                    index,
                    total_bytes,
                    offset,
                    bytes,
                    digest,
                };
                self.core.on_snapshot(from, chunk).await
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
                ControlReply::Replaced(self.core.replace_as_leader(old, new).await)
            }
        }
    }

    /// Submits a change that another replica forwarded.
    async fn on_submit(
        &self,
        term: Term,
        call: (InstanceId, u64),
        submission: Submission,
    ) -> Result<Committed, SubmitError> {
        let status = {
            let mut volatile = self.core.volatile();
            let is_leader = volatile.leads_term(term);
            volatile.call_deduplicator.register(term, is_leader, call)
        };
        match status {
            CallStatus::New => self.submit_locally(submission).await,
            CallStatus::NotRun => Err(NotRun::NotLeader.into()),
            CallStatus::MaybeRun => Err(unknown_outcome(
                &submission,
                "the message may have come twice",
            )),
        }
    }
}
