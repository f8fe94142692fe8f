//! Takes over what an earlier scheduler has learned, and offers what this one has for storing.

use std::collections::BTreeMap;

use model::{BackendServerId, Duration, Incarnation, Moment, Revision};

use crate::{
    Scheduler,
    headroom::StopDurations,
    learned::{
        LearnedPage, LearnedWrite,
        changes::{KnownSpeed, PageState, StoredEntry, is_due, page_to_write},
        codec,
        record::{Entry, MAX_LOG_FACTOR, MAX_STORED_RUNS, PAGES, PageRecord, RestoredSpeed, page_of, share_of_age},
    },
    server::{Server, may_be_same_incarnation},
    speed::{RUN_PRECISION, Speed},
};

/// Time after the election for which a restored speed waits for its backend server. The platform lists what is there
/// within seconds; the speed of one that it has stopped listing in the meantime would be reset as well.
const PENDING_LIMIT: Duration = Duration::from_secs(60);

impl Scheduler {
    /// Restores the pages of earlier schedulers, as far as they can be used. May be called at any time: what this
    /// scheduler has measured itself stays.
    pub fn restore_learned(&mut self, pages: Vec<LearnedPage>, now: Moment, wall_ms: u64) {
        if !self.timing.tuning.keep_learned {
            return;
        }
        let records: Vec<PageRecord> = pages.into_iter().filter_map(|page| self.read_page(page, now)).collect();
        let Some(newest) = records.iter().max_by_key(|record| record.written_ms) else { return };
        let age_ms = i128::from(wall_ms) - i128::from(newest.written_ms);
        self.restore_stop_duration(newest, wall_ms);
        for record in &records {
            let share = share_of_age(record.written_ms, wall_ms);
            let restored = |entry: &Entry| (entry.id.clone(), RestoredSpeed::new(entry, share));
            self.learned.pending.extend(record.entries.iter().map(restored));
        }
        log::info!(
            "event=learned_restored servers={} age_ms={age_ms} stop_ms={} fence={}",
            self.learned.pending.len(),
            newest.stop_ms,
            self.fence
        );
        let tracked: Vec<BackendServerId> =
            self.learned.pending.keys().filter(|id| self.servers.contains_key(id)).cloned().collect();
        for id in tracked {
            self.apply_restored_speed(&id, now);
        }
    }

    /// Decodes a page and records what the store holds; `None` if it cannot be used.
    fn read_page(&mut self, page: LearnedPage, now: Moment) -> Option<PageRecord> {
        let LearnedPage { page, value, revision } = page;
        let Some(state) = self.learned.pages.get_mut(page as usize).filter(|state| state.accepts(revision)) else {
            log::info!("event=learned_dropped page={page} why=page_unused");
            return None;
        };
        state.revision = revision;
        let decoded = codec::decode(&value)
            .inspect_err(|why| log::warn!("event=learned_dropped page={page} bytes={} why={why}", value.len()))
            .ok()?;
        for (id, why) in &decoded.dropped {
            log::warn!("event=learned_dropped page={page} server={id:?} why={why}");
        }
        let stored = |entry: &Entry| {
            let stored = StoredEntry { incarnation: entry.incarnation, log_factor: entry.log_factor, class: None };
            (entry.id.clone(), stored)
        };
        state.entries = decoded.record.entries.iter().map(stored).collect();
        state.written_ms = decoded.record.written_ms;
        if now.since(self.elected) >= PENDING_LIMIT {
            return None;
        }
        Some(decoded.record)
    }

    /// Restores the mean duration of stops, unless a stop was measured already.
    fn restore_stop_duration(&mut self, newest: &PageRecord, wall_ms: u64) {
        if self.stop_durations == StopDurations::initial() {
            let share = share_of_age(newest.written_ms, wall_ms);
            self.stop_durations = StopDurations::restored(Duration::from_millis(newest.stop_ms), share);
        }
    }

    /// Applies a restored speed once the backend server's incarnation is known as far as the platform reports it.
    pub(crate) fn apply_restored_speed(&mut self, id: &BackendServerId, now: Moment) {
        self.drop_expired_pending(now);
        let Some(server) = self.servers.get(id) else { return };
        let listed = server.info.as_ref().and_then(|info| info.incarnation);
        if server.info.is_none() && server.incarnation.is_none() {
            return;
        }
        let Some(restored) = self.learned.pending.remove(id) else { return };
        if !may_be_same_incarnation(restored.incarnation, server.incarnation.or(listed)) {
            log_other_incarnation(id);
        } else if !server.speed.is_known() {
            self.learned.unmeasured.insert(id.clone(), restored.incarnation);
            self.set_speed(id, restored.speed(now));
            self.mark_stale(id);
        }
    }

    fn drop_expired_pending(&mut self, now: Moment) {
        if now.since(self.elected) >= PENDING_LIMIT {
            self.learned.pending.clear();
        }
    }

    /// Handles the first response of a backend server: a restored speed of another incarnation is dropped. The
    /// platform's list may name an incarnation that has ended.
    pub(crate) fn check_restored_speed(&mut self, id: &BackendServerId, incarnation: Incarnation) {
        let restored = self.learned.unmeasured.get(id).copied().flatten();
        if restored.is_some_and(|restored| restored != incarnation) {
            log_other_incarnation(id);
            self.reset_speed(id);
            self.mark_stale(id);
        }
    }

    /// Returns the page to store now, if any. Repeated with the same expected revision until its outcome is known.
    pub fn next_learned_write(&mut self, now: Moment, wall_ms: u64) -> Option<LearnedWrite> {
        let tuning = &self.timing.tuning;
        let has_effect = tuning.keep_learned && tuning.speed && self.fleet_speed.differs();
        if !has_effect || !is_due(self.elected, self.learned.compared_at, now) {
            return None;
        }
        self.learned.compared_at = Some(now);
        self.drop_expired_pending(now);
        let known = self.servers.iter().filter(|(_, server)| server.speed.is_known());
        let known = known.map(|(id, server)| self.known_speed(id, server));
        let page = page_to_write(&self.learned.pages, known, wall_ms)?;
        Some(self.write_of(page, now, wall_ms))
    }

    fn known_speed<'a>(&self, id: &'a BackendServerId, server: &Server) -> KnownSpeed<'a> {
        let restored = self.learned.unmeasured.get(id);
        KnownSpeed {
            id,
            incarnation: server.incarnation.or_else(|| restored.copied().flatten()),
            log_factor: stored_log(server.speed.log_factor() - self.fleet_speed.latest_mean()),
            class: server.speed.class(&self.fleet_speed),
            measured_at: restored.is_none().then(|| server.speed.measured_at()),
        }
    }

    /// Makes the write of a page, with the restored speeds that still wait for their backend servers.
    fn write_of(&self, page: u32, now: Moment, wall_ms: u64) -> LearnedWrite {
        let known = self.servers.iter().filter(|(id, server)| server.speed.is_known() && page_of(id) == page);
        let mut record_entries = Vec::new();
        let mut stored_entries = BTreeMap::new();
        for (id, server) in known {
            let KnownSpeed { incarnation, log_factor, class, .. } = self.known_speed(id, server);
            let runs = stored_runs(&server.speed);
            record_entries.push(Entry { id: id.clone(), incarnation, log_factor, runs });
            stored_entries.insert(id.clone(), StoredEntry { incarnation, log_factor, class: Some(class) });
        }
        let pending = self.learned.pending.iter().filter(|(id, _)| page_of(id) == page);
        for (id, restored) in pending {
            let (incarnation, speed) = (restored.incarnation, restored.speed(now));
            let (log_factor, runs) = (stored_log(speed.log_factor()), stored_runs(&speed));
            record_entries.push(Entry { id: id.clone(), incarnation, log_factor, runs });
            stored_entries.insert(id.clone(), StoredEntry { incarnation, log_factor, class: None });
        }
        let stop_ms = (self.stop_durations.mean_s() * 1000.0).round() as u64;
        let record = PageRecord { written_ms: wall_ms, stop_ms, entries: record_entries };
        let replaces = self.learned.pages[page as usize].revision;
        let value = codec::encode(&record);
        LearnedWrite { page, value, replaces, written_ms: wall_ms, at: now, entries: stored_entries }
    }

    /// Handles a page that was stored at `revision`.
    pub fn learned_stored(&mut self, write: LearnedWrite, revision: Revision) {
        let LearnedWrite { page, value, written_ms, at, entries, .. } = write;
        log::info!("event=learned_stored page={page} bytes={} servers={}", value.len(), entries.len());
        if let Some(state) = self.learned.pages.get_mut(page as usize) {
            *state = PageState { revision, written_ms, stored_at: Some(at), entries };
        }
    }

    /// Handles a conflict: the store holds a page at another revision than expected, since an earlier write of this
    /// scheduler took effect after all, or the page was not read. The next write replaces it.
    pub fn learned_revision_found(&mut self, page: u32, revision: Revision) {
        if page < PAGES {
            self.learned.pages[page as usize].revision = revision;
        }
    }
}

/// Returns the logarithm within the bounds of what is stored.
fn stored_log(log_factor: f64) -> f64 {
    log_factor.clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR)
}

/// Returns the number of runs that a speed counts for.
fn stored_runs(speed: &Speed) -> u32 {
    let runs = (speed.learned_precision() / RUN_PRECISION).round() as u32;
    runs.clamp(1, MAX_STORED_RUNS)
}

fn log_other_incarnation(id: &BackendServerId) {
    log::info!("server={id} event=learned_dropped why=other_incarnation");
}
