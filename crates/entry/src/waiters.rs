//! Callers and peers whose replies are delayed until a job ends.

use std::collections::BTreeMap;

use model::{CustomerId, Moment, RequestId};

use crate::{CallerReply, EntryBox, JobAnswer, ReplyTo};

/// The recipient of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Respondent {
    Caller(ReplyTo),
    Peer(ReplyTo),
    /// The box itself, which needs no reply.
    Nobody,
}

type Name = (CustomerId, RequestId);

/// Delayed replies with their deadlines, by request.
#[derive(Default)]
pub(crate) struct Waiters {
    by_name: BTreeMap<Name, Vec<(Respondent, Moment)>>,
}

impl Waiters {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn add(&mut self, name: Name, to: Respondent, until: Moment) {
        self.by_name.entry(name).or_default().push((to, until));
    }

    pub(crate) fn take(&mut self, name: &Name) -> Vec<(Respondent, Moment)> {
        self.by_name.remove(name).unwrap_or_default()
    }

    fn take_expired(&mut self, now: Moment) -> Vec<(Name, Respondent)> {
        let mut expired = Vec::new();
        for (name, waiting) in &mut self.by_name {
            waiting.retain(|(to, until)| {
                if *until <= now {
                    expired.push((name.clone(), *to));
                }
                *until > now
            });
        }
        self.by_name.retain(|_, waiting| !waiting.is_empty());
        expired
    }
}

impl EntryBox {
    /// Delays the reply until the job ends here, or until the given time.
    pub(crate) fn wait_for_end(&mut self, name: Name, to: Respondent, until: Moment) {
        if to != Respondent::Nobody {
            self.waiters.add(name, to, until);
        }
    }

    pub(crate) fn answer_waiters(&mut self, customer: &CustomerId, request: &RequestId, answer: &JobAnswer) {
        for (to, _) in self.waiters.take(&(customer.clone(), request.clone())) {
            self.reply(to, CallerReply::Job(answer.clone()));
        }
    }

    pub(crate) fn expire_waiters(&mut self, now: Moment) {
        for ((customer, request), to) in self.waiters.take_expired(now) {
            let answer =
                self.jobs.find(&customer, &request).map_or(JobAnswer::NotKnown, |view| self.answer_of(&view, now));
            self.reply(to, CallerReply::Job(answer));
        }
    }
}
