//! Requests for chat completions.

use compact_str::CompactString;
use serde::Deserialize;

use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;

/// Maximum number of generated tokens when the request gives none.
pub const DEFAULT_MAX_TOKENS: u32 = 512;

/// Upper limit of `max_tokens` in a request.
pub const MAX_TOKENS: u32 = 32_768;

/// What follows the role of a message in the prompt.
const ROLE_END: &str = ": ";

/// What follows the content of a message in the prompt.
const MESSAGE_END: &str = "\n";

/// End of the prompt.
const ANSWER_START: &str = "assistant: ";

/// Upper limit of the temperature in a request.
const MAX_TEMPERATURE: f32 = 2.0;

/// Copies of a request body that exist at once: while it is parsed, the body, its messages and the prompt; later the prompt and
/// the first step, which is encoded for the engine.
pub const BODY_COPIES: usize = 4;

/// A validated request for a chat completion.
#[derive(Clone, Debug, PartialEq)]
pub struct Chat {
    /// Requested model.
    pub model: id::Model,
    /// Prompt that joins the messages.
    pub prompt: CompactString,
    /// Maximum number of generated tokens. Invariant: 1 to [`MAX_TOKENS`].
    pub max_tokens: u32,
    /// Sampling temperature. Invariant: finite, 0 to 2.
    pub temperature: f32,
    /// Seed of the sampling.
    pub seed: Option<u64>,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Whether the stream ends with the token usage.
    pub include_usage: bool,
}

/// Request body before validation. Unknown fields are ignored, because client libraries send many that have
/// no effect here.
#[derive(Debug, Deserialize)]
struct Draft {
    model: id::Model,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    temperature: Option<f32>,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: CompactString,
    content: Content,
}

impl Message {
    /// Bytes that the message takes in the prompt.
    fn bytes(&self) -> usize {
        let content = match &self.content {
            Content::Text(text) => text.len(),
            Content::Parts(parts) => {
                let texts = parts.iter().filter_map(|part| part.text.as_ref());
                texts.map(CompactString::len).sum()
            }
        };
        self.role.len() + ROLE_END.len() + content + MESSAGE_END.len()
    }
}

/// Text, or a list of text parts.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(CompactString),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: CompactString,
    #[serde(default)]
    text: Option<CompactString>,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl Chat {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] with the invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let draft: Draft = serde_json::from_slice(body)
            .map_err(|error| bad_request(&format!("the body is not a chat request: {error}")))?;
        let max_tokens = draft.max_completion_tokens.or(draft.max_tokens);
        Ok(Self {
            max_tokens: check_tokens(max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))?,
            temperature: check_temperature(draft.temperature.unwrap_or(1.0))?,
            prompt: join_messages(&draft.messages)?,
            seed: draft.seed,
            stream: check_choices(draft.n).map(|()| draft.stream.unwrap_or(false))?,
            include_usage: draft.stream_options.unwrap_or_default().include_usage,
            model: draft.model,
        })
    }

    /// Whether a repetition of the request generates the same tokens.
    #[must_use]
    pub fn is_deterministic(&self) -> bool {
        self.temperature == 0.0 || self.seed.is_some()
    }
}

fn check_tokens(count: u32) -> Result<u32, Refusal> {
    if (1..=MAX_TOKENS).contains(&count) {
        return Ok(count);
    }
    Err(bad_request(&format!(
        "max_tokens: found {count}, expected 1 to {MAX_TOKENS}"
    )))
}

fn check_temperature(value: f32) -> Result<f32, Refusal> {
    if (0.0..=MAX_TEMPERATURE).contains(&value) {
        return Ok(value);
    }
    Err(bad_request(&format!(
        "temperature: found {value}, expected 0 to {MAX_TEMPERATURE}"
    )))
}

fn check_choices(count: Option<u32>) -> Result<(), Refusal> {
    match count {
        None | Some(1) => Ok(()),
        Some(count) => Err(bad_request(&format!("n: found {count}, expected 1"))),
    }
}

/// Joins the messages, each with its role. Requests that start with the same messages get prompts with the
/// same prefix, so that the prefix caches of engines are effective.
fn join_messages(messages: &[Message]) -> Result<CompactString, Refusal> {
    if messages.is_empty() {
        return Err(bad_request("messages: found none, expected at least one"));
    }
    let bytes = messages.iter().map(Message::bytes).sum::<usize>() + ANSWER_START.len();
    let mut prompt = CompactString::with_capacity(bytes);
    for (index, message) in messages.iter().enumerate() {
        if !matches!(
            message.role.as_str(),
            "system" | "developer" | "user" | "assistant" | "tool"
        ) {
            let role = &message.role;
            return Err(bad_request(&format!(
                "messages[{index}].role: found {role:?}, expected system, developer, user, assistant or tool"
            )));
        }
        prompt.push_str(&message.role);
        prompt.push_str(ROLE_END);
        append_content(&mut prompt, index, &message.content)?;
        prompt.push_str(MESSAGE_END);
    }
    prompt.push_str(ANSWER_START);
    Ok(prompt)
}

fn append_content(
    prompt: &mut CompactString,
    index: usize,
    content: &Content,
) -> Result<(), Refusal> {
    let parts = match content {
        Content::Text(text) => {
            prompt.push_str(text);
            return Ok(());
        }
        Content::Parts(parts) => parts,
    };
    for part in parts {
        match &part.text {
            Some(text) if part.kind == "text" => prompt.push_str(text),
            _ => {
                let kind = &part.kind;
                return Err(bad_request(&format!(
                    "messages[{index}].content: found a part of type {kind:?}, expected text"
                )));
            }
        }
    }
    Ok(())
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
