//! Measures how long requests run at backend servers.

use crate::{
    process::state::State,
    request::reply::{End, Observer},
};
use azurenotch_core::request::forecast::Forecast;
use azurenotch_wire::time::Instant;
use std::{sync::Arc, time::Duration};

/// Request that runs, counted until it is dropped.
#[derive(Debug)]
pub struct Stopwatch {
    state: Arc<State>,
    /// Hash of the name of the request's route.
    route: u32,
    started: Instant,
}

impl Stopwatch {
    /// Counts a request that starts.
    pub fn start(state: &Arc<State>, route: u32) -> Self {
        let started = state.now();
        let mut forecasts = state.forecasts.lock();
        forecasts.entry(route).or_default().begin(started);
        drop(forecasts);
        Self {
            state: Arc::clone(state),
            route,
            started,
        }
    }

    /// Records that the answer is complete.
    pub fn stop(self) {
        self.record(Forecast::observe);
    }

    /// Records that the time of the request is over.
    pub fn time_out(self) {
        self.record(Forecast::observe_timeout);
    }

    fn record(self, observe: impl FnOnce(&mut Forecast, Duration)) {
        let time = self.state.now().since(self.started);
        if let Some(forecast) = self.state.forecasts.lock().get_mut(&self.route) {
            observe(forecast, time);
        }
    }
}

impl Observer for Stopwatch {
    fn end(self: Box<Self>, end: End) {
        if end == End::Whole {
            self.stop();
        }
    }
}

impl Drop for Stopwatch {
    fn drop(&mut self) {
        if let Some(forecast) = self.state.forecasts.lock().get_mut(&self.route) {
            forecast.end(self.started);
        }
    }
}
