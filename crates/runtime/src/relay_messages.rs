//! Conversions between the outcomes of requests and the messages between boxes.

use jobs::JobState;
use wire::relay::{cancel_reply, state_reply, submit_reply};

use crate::outcome::{CancelOutcome, StateOutcome, SubmitOutcome};

impl From<submit_reply::Outcome> for SubmitOutcome {
    fn from(outcome: submit_reply::Outcome) -> SubmitOutcome {
        match outcome {
            submit_reply::Outcome::Accepted => SubmitOutcome::Accepted,
            submit_reply::Outcome::Refused => SubmitOutcome::Refused,
            submit_reply::Outcome::OtherJob => SubmitOutcome::OtherJob,
            submit_reply::Outcome::Unknown => SubmitOutcome::Unknown,
        }
    }
}

impl From<SubmitOutcome> for submit_reply::Outcome {
    fn from(outcome: SubmitOutcome) -> submit_reply::Outcome {
        match outcome {
            SubmitOutcome::Accepted => submit_reply::Outcome::Accepted,
            SubmitOutcome::Refused => submit_reply::Outcome::Refused,
            SubmitOutcome::OtherJob => submit_reply::Outcome::OtherJob,
            SubmitOutcome::Unknown => submit_reply::Outcome::Unknown,
        }
    }
}

impl From<cancel_reply::Outcome> for CancelOutcome {
    fn from(outcome: cancel_reply::Outcome) -> CancelOutcome {
        match outcome {
            cancel_reply::Outcome::Cancelled => CancelOutcome::Cancelled,
            cancel_reply::Outcome::NoSuchJob => CancelOutcome::NoSuchJob,
            cancel_reply::Outcome::NotYours => CancelOutcome::NotYours,
            cancel_reply::Outcome::Refused => CancelOutcome::Refused,
            cancel_reply::Outcome::Unknown => CancelOutcome::Unknown,
        }
    }
}

impl From<CancelOutcome> for cancel_reply::Outcome {
    fn from(outcome: CancelOutcome) -> cancel_reply::Outcome {
        match outcome {
            CancelOutcome::Cancelled => cancel_reply::Outcome::Cancelled,
            CancelOutcome::NoSuchJob => cancel_reply::Outcome::NoSuchJob,
            CancelOutcome::NotYours => cancel_reply::Outcome::NotYours,
            CancelOutcome::Refused => cancel_reply::Outcome::Refused,
            CancelOutcome::Unknown => cancel_reply::Outcome::Unknown,
        }
    }
}

impl From<state_reply::State> for StateOutcome {
    fn from(outcome: state_reply::State) -> StateOutcome {
        match outcome {
            state_reply::State::Unavailable => StateOutcome::Unavailable,
            state_reply::State::NoSuchJob => StateOutcome::NoSuchJob,
            state_reply::State::NotYours => StateOutcome::NotYours,
            state_reply::State::Queued => StateOutcome::Found(JobState::Queued),
            state_reply::State::Running => StateOutcome::Found(JobState::Running),
            state_reply::State::Succeeded => StateOutcome::Found(JobState::Succeeded),
            state_reply::State::Failed => StateOutcome::Found(JobState::Failed),
            state_reply::State::Cancelled => StateOutcome::Found(JobState::Cancelled),
        }
    }
}

impl From<StateOutcome> for state_reply::State {
    fn from(outcome: StateOutcome) -> state_reply::State {
        match outcome {
            StateOutcome::Unavailable => state_reply::State::Unavailable,
            StateOutcome::NoSuchJob => state_reply::State::NoSuchJob,
            StateOutcome::NotYours => state_reply::State::NotYours,
            StateOutcome::Found(JobState::Queued) => state_reply::State::Queued,
            StateOutcome::Found(JobState::Running) => state_reply::State::Running,
            StateOutcome::Found(JobState::Succeeded) => state_reply::State::Succeeded,
            StateOutcome::Found(JobState::Failed) => state_reply::State::Failed,
            StateOutcome::Found(JobState::Cancelled) => state_reply::State::Cancelled,
        }
    }
}
