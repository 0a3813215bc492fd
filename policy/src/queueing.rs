use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::choosing::Choice;
use crate::waiter::Waiter;
use crate::{Admission, NoSlot, NoSlotReason, PoolCore, SlotGrant, Ticket};

/// Shortest time that a refused caller is told to stay away.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Longest time that a refused caller is told to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Time that a caller is told to stay away when no upstream takes work.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_secs(1);

impl PoolCore {
    /// Returns a slot, a place in the queue or a refusal.
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
        let hold_until = choice.and_then(|choice| {
            let ahead = self.services[service.index()].queue.len();
            let until = self.hold_until(service, &choice, exclude, ahead, now)?;
            let latest = deadline.checked_sub(Duration::from_secs_f64(choice.expected_s))?;
            Some(until.min(latest)).filter(|until| now < *until)
        });
        if let Some(choice) = choice.filter(|_| hold_until.is_none()) {
            return Admission::Granted(self.take(&choice, now));
        }
        match (self.check_queue(service, deadline, exclude, now), choice) {
            (Ok(give_up_at), _) => {
                let waiter = Waiter {
                    ticket: self.new_ticket(),
                    give_up_at,
                    hold_until,
                    exclude: exclude.into(),
                };
                let ticket = waiter.ticket;
                self.service_mut(service).queue.push_back(waiter);
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

    /// Returns a slot if one is free now on an upstream that is no slower than a wait would be.
    pub fn try_admit_fast(
        &mut self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<SlotGrant> {
        let choice = self.choose(service, exclude, now)?;
        let ahead = self.services[service.index()].queue.len();
        let hold = self.hold_until(service, &choice, exclude, ahead, now);
        hold.is_none().then(|| self.take(&choice, now))
    }

    /// Removes a request from the queue; returns whether it was there.
    pub fn cancel(&mut self, service: ServiceId, ticket: Ticket) -> bool {
        let queue = &mut self.service_mut(service).queue;
        let Some(position) = queue.iter().position(|waiter| waiter.ticket == ticket) else {
            return false;
        };
        queue.remove(position);
        self.free_tickets.push(ticket.next());
        true
    }

    /// Hands free slots to waiting requests, in order of arrival.
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
                    if let Some(waiter) = queue.remove(position) {
                        self.granted.push((waiter.ticket, grant));
                    }
                }
                None if queue[position].exclude.is_empty() => break,
                None => position += 1,
            }
        }
        self.service_mut(service).queue = queue;
    }

    /// Returns until when a request may wait, or why it may not.
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

    /// Returns the time that a request would wait behind those that wait already.
    fn expected_wait(&self, service: ServiceId, now: Instant) -> Duration {
        let entry = &self.services[service.index()];
        let open = self.slot_counts(service, now).total;
        let ahead = entry.queue.len() as f64 + 1.0;
        if open > 0 {
            return Duration::from_secs_f64(ahead * entry.time.mean_s() / f64::from(open));
        }
        let opens_at = self.next_change(service, now).unwrap_or(now);
        opens_at - now + Duration::from_secs_f64(ahead * entry.time.mean_s())
    }

    pub(crate) fn retry_after(&self, service: ServiceId, now: Instant) -> Duration {
        let wait = self.expected_wait(service, now);
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Returns the upstream that a waiting request should go to, unless it should go on waiting.
    fn choose_for(
        &mut self,
        service: ServiceId,
        waiter: &mut Waiter,
        ahead: usize,
        now: Instant,
    ) -> Option<Choice> {
        let choice = self.choose(service, &waiter.exclude, now)?;
        let Some(until) = self.hold_until(service, &choice, &waiter.exclude, ahead, now) else {
            return Some(choice);
        };
        let until = *waiter.hold_until.get_or_insert(until);
        (now >= until).then_some(choice)
    }

    fn take(&mut self, choice: &Choice, now: Instant) -> SlotGrant {
        let entry = &mut self.upstreams[choice.upstream.index()];
        entry.take(choice.use_of, &self.settings, now);
        SlotGrant {
            upstream: choice.upstream,
            granted_at: now,
            use_of: choice.use_of,
        }
    }

    fn new_ticket(&mut self) -> Ticket {
        self.free_tickets.pop().unwrap_or_else(|| {
            self.next_ticket += 1;
            Ticket::first(self.next_ticket - 1)
        })
    }
}
