//! Decisions of a generation.

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

/// How a step without a fitting reply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection could not be opened; the step did not run.
    ConnectFailed,
    /// The engine answered with a code.
    Refused(Code),
    /// No answer came in time; the step may have run.
    TimedOut,
    /// The connection broke; the step may have run.
    ConnectionLost,
    /// The engine does not answer status queries either; the step may have run.
    Frozen,
    /// The reply belongs to another step or is outside the protocol; the step may have run.
    Mismatched,
}

/// What follows a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The session is built again, as the next attempt.
    Move {
        /// For the counter of retries.
        reason: &'static str,
        /// Whether the engine counts as failed.
        failed: bool,
        /// Whether the move needs the retry budget. An engine that is gone cannot be overloaded by retries;
        /// one that is slow or refuses can.
        budget: bool,
    },
    /// The caches of the sessions are copied to another chain, as the next attempt, and the pass continues.
    /// No step has an unknown result.
    Transfer {
        /// For the counter of retries.
        reason: &'static str,
    },
    /// The request ends.
    GiveUp(Reason),
}

/// A stage that is not the next one of the pass.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("stage runs layers {found}, but the pass is at layer {expected}")]
pub struct OutOfOrder {
    /// Layers of the stage.
    pub found: layer::Range,
    /// Next layer of the pass.
    pub expected: u32,
}

/// How far a generation has come.
///
/// A pass takes one or more positions through every layer in order and ends in a token. A step with an
/// unknown result ends the attempt: nothing is sent to its sessions again but the cancellation.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    attempt: Attempt,
    /// First position of the pass.
    position: Position,
    /// Number of positions of the pass, once its first stage has answered.
    count: Option<u32>,
    /// Layers of the pass that have run.
    covered: u32,
    /// Tokens of the answer, those of earlier attempts included.
    generated: Vec<u32>,
    /// Positions of the prompt, once an engine has read it.
    prompt: Option<u32>,
    /// Engines to leave out, the one that was lost last at the end.
    avoid: Vec<id::Server>,
    moves: u32,
    /// Whether a step may have run.
    ran: bool,
    /// Whether a step is under way.
    sent: bool,
    /// Whether the chain holds an engine of `avoid`, because there is no other.
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

    /// Positions of the prompt; 0 when no engine has read it.
    #[must_use]
    pub fn prompt(&self) -> u32 {
        self.prompt.unwrap_or(0)
    }

    /// Engines to leave out, the one that was lost last at the end.
    #[must_use]
    pub fn avoid(&self) -> &[id::Server] {
        &self.avoid
    }

    /// Number of moves to other chains.
    #[must_use]
    pub fn moves(&self) -> u32 {
        self.moves
    }

    /// Number of positions in the pass that an engine can at least find: the answer so far and one of the
    /// prompt.
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

    /// Notes that a chain was chosen; `forced` says that it holds an engine that was to be left out.
    pub fn record_chain(&mut self, forced: bool) {
        self.forced = forced;
    }

    /// Checks that a stage is the next one of the pass.
    ///
    /// # Errors
    ///
    /// [`OutOfOrder`] when it would skip layers or run them twice.
    pub fn check_order(&self, layers: layer::Range) -> Result<(), OutOfOrder> {
        if layers.start() == self.covered {
            return Ok(());
        }
        Err(OutOfOrder {
            found: layers,
            expected: self.covered,
        })
    }

    /// Notes that a step is about to be sent.
    pub fn record_send(&mut self) {
        self.sent = true;
    }

    /// Notes the fitting reply to a step of `count` positions.
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

    /// Decides what follows the loss of a step on `server`; at most `limit` moves are made.
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
        if !keeps_engine(loss) {
            self.avoid.retain(|other| other != server);
            self.avoid.push(server.clone());
        }
        self.moves += 1;
        self.attempt = self.attempt.next();
        if loss == Loss::Refused(Code::Draining) && self.position > Position(0) {
            return Verdict::Transfer { reason: "draining" };
        }
        self.restart();
        verdict(loss)
    }

    /// Positions that a layer has run in its session, as long as the attempt lasts.
    #[must_use]
    pub fn cached_positions(&self, layer: u32) -> Position {
        let pass = if layer < self.covered {
            self.count.unwrap_or(0)
        } else {
            0
        };
        Position(self.position.0 + pass)
    }

    /// Gives up a transfer: the sessions are built from the prompt, in another attempt.
    pub fn recompute(&mut self) {
        self.attempt = self.attempt.next();
        self.restart();
    }

    /// Starts from the prompt and the tokens generated so far.
    fn restart(&mut self) {
        self.position = Position(0);
        self.count = None;
        self.covered = 0;
    }

    /// The cause of the end of a request that is given up for `reason`.
    #[must_use]
    pub fn cause(reason: Reason) -> Cause {
        match reason {
            Reason::DeadlineExceeded => Cause::DeadlinePassed,
            Reason::NoChain => Cause::ConnectFailed,
            _ => Cause::ConnectionLost,
        }
    }
}

/// Whether the engine itself is fine and only its session is gone.
fn keeps_engine(loss: Loss) -> bool {
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
