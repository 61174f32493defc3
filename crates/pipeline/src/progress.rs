//! State machine of a generation.

use derive_more::Display;
use derive_more::Error;

use agatemill_core::Cause;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Attempt;
use agatemill_core::number::Position;
use agatemill_engine::failure::Code;

/// Why a step has no valid reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection could not be opened; the step did not run.
    ConnectFailed,
    /// The engine responded with an error code.
    Refused(Code),
    /// The step timed out; it may have run.
    TimedOut,
    /// The connection broke; the step may have run.
    ConnectionLost,
    /// The engine does not respond to status queries either; the step may have run.
    Frozen,
    /// The reply belongs to another step or violates the protocol; the step may have run.
    Mismatched,
}

/// How to proceed after a [`Loss`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Rebuild the session on another chain, as the next attempt.
    Move {
        /// Label for the retry counter.
        reason: &'static str,
        /// Whether to report the engine as failed.
        failed: bool,
        /// Whether the move consumes the retry budget. Retries cannot overload an engine that is gone, but they
        /// can overload one that is slow or refuses steps.
        budget: bool,
    },
    /// Copy the session caches to another chain and continue the pass there, as the next attempt.
    /// No step has an unknown result.
    Transfer {
        /// Label for the retry counter.
        reason: &'static str,
    },
    /// End the request.
    GiveUp(Reason),
}

/// Error for a stage that is not the next one of the pass.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("stage runs layers {found}, but the pass is at layer {expected}")]
pub struct OutOfOrder {
    /// Layers of the stage.
    pub found: layer::Range,
    /// Next layer of the pass.
    pub expected: u32,
}

/// Progress of a generation.
///
/// A pass runs one or more positions through every layer in order and produces a token. A step with an unknown result
/// ends the attempt: after that, its sessions only receive the cancellation.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    attempt: Attempt,
    /// First position of the pass.
    position: Position,
    /// Number of positions of the pass, once its first stage has replied.
    count: Option<u32>,
    /// Number of layers of the pass that have run.
    covered: u32,
    /// Tokens of the answer, including those of earlier attempts.
    generated: Vec<u32>,
    /// Number of positions of the prompt, once an engine has processed it.
    prompt: Option<u32>,
    /// Engines to exclude, the most recently lost one last.
    excluded: Vec<id::Server>,
    moves: u32,
    /// Whether a step may have run.
    ran: bool,
    /// Whether a step is in flight.
    sent: bool,
    /// Whether the chain includes an engine of `excluded` because the others do not cover the model.
    forced: bool,
}

impl Progress {
    /// Number of the attempt.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// First position of the pass.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Number of positions of the pass, once it is known.
    #[must_use]
    pub fn count(&self) -> Option<u32> {
        self.count
    }

    /// Tokens of the answer.
    #[must_use]
    pub fn generated(&self) -> &[u32] {
        &self.generated
    }

    /// Number of positions of the prompt; 0 if no engine has processed it.
    #[must_use]
    pub fn prompt(&self) -> u32 {
        self.prompt.unwrap_or(0)
    }

    /// Engines to exclude, the most recently lost one last.
    #[must_use]
    pub fn excluded(&self) -> &[id::Server] {
        &self.excluded
    }

    /// Number of moves to other chains.
    #[must_use]
    pub fn moves(&self) -> u32 {
        self.moves
    }

    /// Minimum number of positions that an engine can count in a pass over the prompt: the answer so far and one
    /// position of the prompt.
    #[must_use]
    pub fn min_positions(&self) -> u32 {
        u32::try_from(self.generated.len())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }

    /// The phase of the request, for [`agatemill_core::Outcome::resolve`].
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.ran || self.sent {
            Phase::Sent
        } else {
            Phase::Admitted
        }
    }

    /// Records the choice of a chain; `forced` says whether it includes an engine that should be excluded.
    pub fn record_chain(&mut self, forced: bool) {
        self.forced = forced;
    }

    /// Checks that a stage is the next one of the pass.
    ///
    /// # Errors
    ///
    /// [`OutOfOrder`] if the stage would skip layers or run them twice.
    pub fn check_order(&self, layers: layer::Range) -> Result<(), OutOfOrder> {
        if layers.start() == self.covered {
            return Ok(());
        }
        Err(OutOfOrder {
            found: layers,
            expected: self.covered,
        })
    }

    /// Records that a step is about to be sent.
    pub fn record_send(&mut self) {
        self.sent = true;
    }

    /// Records a valid reply to a step of `count` positions.
    pub fn record_reply(&mut self, layers: layer::Range, count: u32) {
        self.ran = true;
        self.sent = false;
        self.count = Some(count);
        self.covered = layers.end();
    }

    /// Ends the pass with the token that the last stage returned.
    pub fn record_token(&mut self, id: u32) {
        let count = self.count.take().unwrap_or(0);
        if self.prompt.is_none() {
            self.prompt = Some(count);
        }
        self.position = Position(self.position.0 + count);
        self.covered = 0;
        self.generated.push(id);
    }

    /// Decides how to proceed after the loss of a step on `server`, with at most `limit` moves in total.
    pub fn handle_loss(&mut self, server: &id::Server, loss: Loss, limit: u32) -> Verdict {
        let not_run = match loss {
            Loss::ConnectFailed => true,
            Loss::Refused(code) => code.is_not_run(),
            Loss::TimedOut | Loss::Frozen | Loss::ConnectionLost | Loss::Mismatched => false,
        };
        self.ran |= !not_run;
        self.sent = false;
        if loss == Loss::Refused(Code::BadRequest) {
            return Verdict::GiveUp(Reason::BackendFailed);
        }
        if self.moves >= limit {
            return Verdict::GiveUp(if self.forced {
                Reason::NoChain
            } else {
                Reason::RetriesExhausted
            });
        }
        if !is_session_loss(loss) {
            self.excluded.retain(|other| other != server);
            self.excluded.push(server.clone());
        }
        self.moves += 1;
        self.attempt = self.attempt.next();
        if loss == Loss::Refused(Code::Draining) && self.position > Position(0) {
            return Verdict::Transfer { reason: "draining" };
        }
        self.restart();
        verdict(loss)
    }

    /// Number of positions that a layer has run in its session of the current attempt.
    #[must_use]
    pub fn cached_positions(&self, layer: u32) -> Position {
        let pass = if layer < self.covered {
            self.count.unwrap_or(0)
        } else {
            0
        };
        Position(self.position.0 + pass)
    }

    /// Abandons a transfer: the next attempt rebuilds the sessions from the prompt.
    pub fn recompute(&mut self) {
        self.attempt = self.attempt.next();
        self.restart();
    }

    /// Resets the pass to start from the prompt and the tokens generated so far.
    fn restart(&mut self) {
        self.position = Position(0);
        self.count = None;
        self.covered = 0;
    }

    /// The cause to report for a request that ends with `reason`.
    #[must_use]
    pub fn cause(reason: Reason) -> Cause {
        match reason {
            Reason::DeadlineExceeded => Cause::DeadlinePassed,
            Reason::NoChain => Cause::ConnectFailed,
            _ => Cause::ConnectionLost,
        }
    }
}

/// Whether only the session was lost and the engine can still be used.
fn is_session_loss(loss: Loss) -> bool {
    matches!(
        loss,
        Loss::Refused(Code::SessionUnknown | Code::PositionMismatch | Code::Cancelled)
    )
}

fn verdict(loss: Loss) -> Verdict {
    let (reason, failed, budget) = match loss {
        Loss::ConnectFailed | Loss::ConnectionLost => ("stage_lost", true, false),
        Loss::Frozen => ("stage_frozen", true, false),
        Loss::TimedOut => ("stage_timeout", true, true),
        Loss::Mismatched => ("mismatched_reply", true, true),
        Loss::Refused(Code::Draining) => ("draining", false, false),
        Loss::Refused(Code::Overloaded) => ("overloaded", false, true),
        Loss::Refused(Code::NotHoldingLayers) => ("not_holding_layers", false, true),
        Loss::Refused(Code::SessionUnknown | Code::PositionMismatch | Code::Cancelled) => {
            ("session_lost", false, true)
        }
        Loss::Refused(Code::Fenced | Code::BadRequest | Code::Internal) => {
            ("stage_failed", true, true)
        }
    };
    Verdict::Move {
        reason,
        failed,
        budget,
    }
}
