//! Responses to chat completions, in the JSON format that common client libraries for this API accept.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::CompactString;
use serde::Serialize;

use agatemill_core::id;

/// Fields that all chunks of one response share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Id of the request that started the response.
    pub id: id::Request,
    /// Start time in seconds since the Unix epoch.
    pub created: u64,
    /// Model that generates the response.
    pub model: id::Model,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

#[derive(Serialize)]
struct Response<'a, C> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a id::Model,
    choices: C,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Message<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl Usage {
    /// Creates the counts and computes their sum.
    #[must_use]
    pub fn new(prompt_tokens: u32, completion_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

impl Completion {
    /// Creates a completion that starts now.
    #[must_use]
    pub fn new(id: id::Request, model: id::Model) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id,
            created: since.unwrap_or_default().as_secs(),
            model,
        }
    }

    /// Encodes the complete response as JSON.
    ///
    /// # Panics
    ///
    /// Never: all fields are strings and numbers.
    #[must_use]
    pub fn full(&self, text: &str, finish_reason: &'static str, usage: Usage) -> Vec<u8> {
        let choice = Choice {
            index: 0,
            message: Message {
                role: Some("assistant"),
                content: Some(text),
            },
            finish_reason,
        };
        self.json("chat.completion", [choice], Some(usage))
    }

    /// Encodes the chunk of one token; the first chunk of a response contains the role.
    #[must_use]
    pub fn token_chunk(&self, index: u32, text: &str) -> Vec<u8> {
        let choice = ChunkChoice {
            index: 0,
            delta: Message {
                role: (index == 0).then_some("assistant"),
                content: Some(text),
            },
            finish_reason: None,
        };
        self.json("chat.completion.chunk", [choice], None)
    }

    /// Encodes the chunk with the finish reason.
    #[must_use]
    pub fn finish_chunk(&self, finish_reason: &'static str) -> Vec<u8> {
        let choice = ChunkChoice {
            index: 0,
            delta: Message {
                role: None,
                content: None,
            },
            finish_reason: Some(finish_reason),
        };
        self.json("chat.completion.chunk", [choice], None)
    }

    /// Encodes the chunk with the token usage, which has no choices.
    #[must_use]
    pub fn usage_chunk(&self, usage: Usage) -> Vec<u8> {
        let no_choices: [ChunkChoice<'_>; 0] = [];
        self.json("chat.completion.chunk", no_choices, Some(usage))
    }

    fn json(&self, object: &'static str, choices: impl Serialize, usage: Option<Usage>) -> Vec<u8> {
        let id: CompactString = compact_str::format_compact!("chatcmpl-{}", self.id);
        let response = Response {
            id: &id,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        };
        serde_json::to_vec(&response).expect("a response is plain JSON")
    }
}
