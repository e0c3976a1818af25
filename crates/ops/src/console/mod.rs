//! `console`: nodes, members, tenants and events in the terminal, from the records, live or replayed.

mod app;
mod source;
mod view;

use crate::Failed;
use app::{App, KeyInput};
use ratatui::crossterm::event::{self, Event, KeyEventKind};
use source::Source;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the screen is redrawn; key presses redraw it at once.
const FRAME_INTERVAL: Duration = Duration::from_millis(100);

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
    let speed: f64 = text.parse().map_err(|_| format!("'{text}' is not a number"))?;
    if (0.1..=1_000.0).contains(&speed) { Ok(speed) } else { Err("must be from 0.1 to 1000".into()) }
}

impl Console {
    pub fn run(self) -> Result<ExitCode, Failed> {
        // Errors in the folders are reported before the terminal is switched to full screen.
        crate::list_folders(&self.folders)?;
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
        // Installs a panic hook that restores the terminal, too.
        let mut terminal = ratatui::try_init()?;
        let result = (|| -> std::io::Result<()> {
            let mut last_frame = Instant::now();
            while !app.should_quit() && !stop.load(Ordering::Relaxed) {
                app.advance(Instant::now());
                terminal.draw(|frame| view::draw(frame, &app))?;
                let time_left = FRAME_INTERVAL.saturating_sub(last_frame.elapsed());
                last_frame = Instant::now();
                if event::poll(time_left.max(Duration::from_millis(10)))? {
                    match event::read()? {
                        Event::Key(key) if key.kind == KeyEventKind::Press => {
                            app.handle_key(KeyInput::from_event(key))
                        }
                        _ => {}
                    }
                }
            }
            Ok(())
        })();
        ratatui::try_restore()?;
        result?;
        Ok(ExitCode::SUCCESS)
    }
}

#[cfg(test)]
mod tests;
