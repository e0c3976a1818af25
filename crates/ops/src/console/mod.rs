//! `console`: the site as its records tell, live or replayed.

mod app;
mod source;
mod view;

use crate::Failed;
use app::{App, Keys};
use ratatui::crossterm::event::{self, Event, KeyEventKind};
use source::Source;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The screen is drawn anew this often, and after each key.
const FRAME: Duration = Duration::from_millis(100);

/// Arguments of `console`.
#[derive(clap::Args)]
pub struct Console {
    /// Folders of records, one for each node.
    #[arg(required = true)]
    folders: Vec<PathBuf>,
    /// Replay from this time on, in place of following what is written: start, 2026-12-01T12:03:10Z, 12:03:10 (UTC,
    /// on the day of the first record) or Unix milliseconds.
    #[arg(long)]
    at: Option<String>,
    /// How many times as fast a replay goes.
    #[arg(long, default_value_t = 1.0, value_parser = speed)]
    speed: f64,
}

fn speed(text: &str) -> Result<f64, String> {
    let speed: f64 = text.parse().map_err(|_| format!("'{text}' is no number"))?;
    if (0.1..=1_000.0).contains(&speed) { Ok(speed) } else { Err("not from 0.1 to 1000".into()) }
}

impl Console {
    pub fn run(self) -> Result<ExitCode, Failed> {
        // Wrong folders are told before the screen is taken.
        crate::listed(&self.folders)?;
        let source = match &self.at {
            None => Source::live(&self.folders)?,
            Some(at) => Source::replay(&self.folders, at, self.speed)?,
        };
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGHUP, signal_hook::consts::SIGINT]
        {
            signal_hook::flag::register(signal, stop.clone())?;
        }
        let mut app = App::new(source);
        // Gives the terminal back on a panic as well.
        let mut terminal = ratatui::try_init()?;
        let ended = (|| -> std::io::Result<()> {
            let mut drawn = Instant::now();
            while !app.over() && !stop.load(Ordering::Relaxed) {
                app.advance(Instant::now());
                terminal.draw(|frame| view::draw(frame, &app))?;
                let left = FRAME.saturating_sub(drawn.elapsed());
                drawn = Instant::now();
                if event::poll(left.max(Duration::from_millis(10)))? {
                    match event::read()? {
                        Event::Key(key) if key.kind == KeyEventKind::Press => app.key(Keys::of(key)),
                        _ => {}
                    }
                }
            }
            Ok(())
        })();
        ratatui::try_restore()?;
        ended?;
        Ok(ExitCode::SUCCESS)
    }
}

#[cfg(test)]
mod tests;
