use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::choice::Choice;
use crate::queued_request::QueuedRequest;
use crate::{Admission, NoSlot, NoSlotReason, PoolCore, SlotGrant, Ticket};

/// Minimum retry delay that a refused caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay that a refused caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Retry delay that a caller is told when no upstream accepts requests.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_secs(1);

impl PoolCore {
    /// Grants a slot, queues the request or refuses it.
    pub fn admit(
        &mut self,
        service: ServiceId,
        deadline: Instant,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Admission {
        if !self.service_mut(service).queue.is_empty() {
            self.dispatch(service, now);
        }
        let choice = match now < deadline {
            true => self.choose(service, exclude, now),
            false => None,
        };
        let wait_until = choice.and_then(|choice| {
            let ahead = self.services[service.index()].queue.len();
            let until = self.wait_until(service, &choice, exclude, ahead, now)?;
            let latest = deadline.checked_sub(Duration::from_secs_f64(choice.expected_s))?;
            Some(until.min(latest)).filter(|until| now < *until)
        });
        if let Some(choice) = choice.filter(|_| wait_until.is_none()) {
            return Admission::Granted(self.take(&choice, now));
        }
        match (self.check_queue(service, deadline, exclude, now), choice) {
            (Ok(give_up_at), _) => {
                let request = QueuedRequest {
                    ticket: self.new_ticket(),
                    give_up_at,
                    wait_until,
                    exclude: exclude.into(),
                };
                let ticket = request.ticket;
                self.service_mut(service).queue.push_back(request);
                Admission::Queued { ticket, give_up_at }
            }
            (Err(_), Some(choice)) => Admission::Granted(self.take(&choice, now)),
            (Err(reason), None) => Admission::Refused(NoSlot {
                reason,
                retry_after: match reason {
                    NoSlotReason::NoUpstream => RETRY_AFTER_NO_UPSTREAM,
                    _ => self.retry_after(service, now),
                },
            }),
        }
    }

    /// Returns a slot if one is free now.
    pub fn try_admit(
        &mut self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<SlotGrant> {
        let choice = self.choose(service, exclude, now)?;
        Some(self.take(&choice, now))
    }

    /// Returns a slot if one is free now, unless a wait for a faster upstream is expected to pay
    /// off.
    pub fn try_admit_fast(
        &mut self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<SlotGrant> {
        let choice = self.choose(service, exclude, now)?;
        let ahead = self.services[service.index()].queue.len();
        let wait_until = self.wait_until(service, &choice, exclude, ahead, now);
        wait_until.is_none().then(|| self.take(&choice, now))
    }

    /// Removes a request from the queue and returns whether it was queued.
    pub fn cancel(&mut self, service: ServiceId, ticket: Ticket) -> bool {
        let queue = &mut self.service_mut(service).queue;
        let Some(position) = queue.iter().position(|request| request.ticket == ticket) else {
            return false;
        };
        queue.remove(position);
        self.free_tickets.push(ticket.next());
        true
    }

    /// Grants free slots to waiting requests, in order of arrival.
    pub fn dispatch(&mut self, service: ServiceId, now: Instant) {
        let mut queue = std::mem::take(&mut self.service_mut(service).queue);
        let mut position = 0;
        while position < queue.len() {
            let ahead = queue.len() - 1;
            if queue[position].give_up_at < now {
                position += 1;
                continue;
            }
            match self.choose_for(service, &mut queue[position], ahead, now) {
                Some(choice) => {
                    let grant = self.take(&choice, now);
                    if let Some(request) = queue.remove(position) {
                        self.granted.push((request.ticket, grant));
                    }
                }
                None if queue[position].exclude.is_empty() => break,
                None => position += 1,
            }
        }
        self.service_mut(service).queue = queue;
    }

    /// Returns until when a request may wait, or why it may not be queued.
    fn check_queue(
        &mut self,
        service: ServiceId,
        deadline: Instant,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Result<Instant, NoSlotReason> {
        let entry = &self.services[service.index()];
        let mut slots = 0;
        for member in entry
            .members
            .iter()
            .filter(|member| !exclude.contains(member))
        {
            let upstream = &self.upstreams[member.index()];
            if !upstream.is_closed(&self.settings, now) {
                slots += upstream.owned.map_or(0, |owned| u32::from(owned.slots));
            }
        }
        if slots == 0 {
            return Err(NoSlotReason::NoUpstream);
        }
        let tail_latency = entry.tail_latency();
        let wait = self.expected_wait(service, now);
        if now + wait + tail_latency > deadline {
            return Err(NoSlotReason::Deadline);
        }
        if entry.queue.len() as u64 >= u64::from(slots) * u64::from(self.settings.queue_per_slot) {
            return Err(NoSlotReason::QueueFull);
        }
        Ok(deadline - tail_latency)
    }

    /// Returns the expected wait of a request behind those that are queued already.
    fn expected_wait(&self, service: ServiceId, now: Instant) -> Duration {
        let entry = &self.services[service.index()];
        let open_slots = self.slot_counts(service, now).total;
        let ahead = entry.queue.len() as f64 + 1.0;
        if open_slots > 0 {
            return Duration::from_secs_f64(ahead * entry.latency.mean_s() / f64::from(open_slots));
        }
        let opens_at = self.next_change(service, now).unwrap_or(now);
        opens_at - now + Duration::from_secs_f64(ahead * entry.latency.mean_s())
    }

    pub(crate) fn retry_after(&self, service: ServiceId, now: Instant) -> Duration {
        let wait = self.expected_wait(service, now);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the upstream for a waiting request, or `None` if the request should continue to
    /// wait.
    fn choose_for(
        &mut self,
        service: ServiceId,
        request: &mut QueuedRequest,
        ahead: usize,
        now: Instant,
    ) -> Option<Choice> {
        let choice = self.choose(service, &request.exclude, now)?;
        let Some(until) = self.wait_until(service, &choice, &request.exclude, ahead, now) else {
            return Some(choice);
        };
        let until = *request.wait_until.get_or_insert(until);
        (now >= until).then_some(choice)
    }

    fn take(&mut self, choice: &Choice, now: Instant) -> SlotGrant {
        let entry = &mut self.upstreams[choice.upstream.index()];
        entry.take(choice.purpose, &self.settings, now);
        SlotGrant {
            upstream: choice.upstream,
            granted_at: now,
            purpose: choice.purpose,
        }
    }

    fn new_ticket(&mut self) -> Ticket {
        self.free_tickets.pop().unwrap_or_else(|| {
            self.next_ticket += 1;
            Ticket::first(self.next_ticket - 1)
        })
    }
}
