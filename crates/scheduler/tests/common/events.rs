//! Calls between schedulers, backend servers and the store, as they arrive and are answered.

use scheduler::{EndKind, StartReply};

use super::world::{Event, STEP_MS, World};

impl World {
    pub(crate) fn run_events(&mut self) {
        self.events.sort_by_key(|(at, _)| *at);
        let due = self.events.iter().take_while(|(at, _)| *at <= self.now).count();
        let events: Vec<(u64, Event)> = self.events.drain(..due).collect();
        for (_, event) in events {
            self.handle(event);
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let now = self.moment();
        match event {
            Event::Hold { leader, server, acknowledged, until, sent } => {
                if !self.reachable(&server) {
                    return;
                }
                let fence = self.leaders[leader].fence;
                self.note(&server, fence, acknowledged);
                let server = self.server_mut(&server);
                let reply = server.hold(fence, acknowledged, until);
                let (id, clock) = (server.id.clone(), server.clock_ms());
                // An answer may be overtaken by later ones on other connections.
                let delay = STEP_MS * (1 + self.rng.u64(..6));
                self.after(delay, Event::Held { leader, server: id, reply, clock, sent });
            }
            Event::Held { leader, server, reply, clock, sent } => {
                let reachable = self.reachable(&server);
                let at = self.now;
                let leader = &mut self.leaders[leader];
                if !leader.alive || !reachable || leader.holding.remove(&server).is_none() {
                    return;
                }
                let Some(listing) = reply else {
                    leader.alive = false;
                    return;
                };
                leader.clocks.insert(server.clone(), (clock, at));
                leader.reached.insert(server.clone());
                leader.scheduler.listing(&server, &listing, sent, now);
            }
            Event::Start { leader, server, task, run, until, answered, saved } => {
                if !self.reachable(&server) {
                    if answered {
                        let reply = StartReply::Unknown;
                        self.after(400, Event::Started { leader, server, task, run, reply });
                    }
                    return;
                }
                let reply = self.start(leader, &server, task, run, until, saved);
                if answered {
                    self.after(STEP_MS, Event::Started { leader, server, task, run, reply });
                }
            }
            Event::Started { leader, server, task, run, reply } => {
                let leader = &mut self.leaders[leader];
                if leader.alive {
                    leader.scheduler.start_replied(&server, task, run, reply, now);
                    leader.alive &= !leader.scheduler.deposed();
                }
            }
            Event::Stop { leader, server, task, run, answered } => {
                if !self.reachable(&server) {
                    return;
                }
                let fence = self.leaders[leader].fence;
                if !self.server_mut(&server).stop(task, run, fence) {
                    return;
                }
                if self.servers[&server].running.get(&task).is_some_and(|known| known.run == run) {
                    self.end(&server, task, EndKind::Stopped);
                }
                if answered {
                    self.after(STEP_MS, Event::Stopped { leader, server, task, run });
                }
            }
            Event::Stopped { leader, server, task, run } => {
                if self.leaders[leader].alive {
                    self.leaders[leader].scheduler.stop_replied(&server, task, run, now);
                }
            }
            Event::Write { leader, batch, answered } => {
                let result = self.write(leader, &batch);
                if answered {
                    self.after(STEP_MS, Event::Written { leader, batch, result });
                }
            }
            Event::Written { leader, batch, result } => {
                let leader = &mut self.leaders[leader];
                leader.writing = false;
                match result {
                    Ok(revision) => leader.scheduler.stored(batch, revision),
                    Err(found) if leader.fence == self.holder => leader.scheduler.found_in_store(&found),
                    Err(_) => leader.alive = false,
                }
            }
            Event::WriteLost { leader } => self.leaders[leader].writing = false,
        }
    }
}
